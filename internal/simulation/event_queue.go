package simulation

import (
	"container/heap"
	"time"
)

// scheduledEvent is an action at a point in time. Events of the same time run in the order in
// which they were scheduled.
type scheduledEvent struct {
	at     time.Duration
	seq    int // number of the event in the order of scheduling
	action func()
}

// eventQueue is a heap of events with the earliest event first. It implements heap.Interface.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].seq < q[k].seq
}
func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	event := (*q)[last]
	*q = (*q)[:last]
	return event
}

// After schedules an action to run once after a delay.
func (w *World) After(delay time.Duration, action func()) {
	w.scheduledCount++
	heap.Push(&w.queue, scheduledEvent{at: w.Now + delay, seq: w.scheduledCount, action: action})
}

// Every schedules an action to run at every interval. The first run is after one interval.
func (w *World) Every(interval time.Duration, action func()) {
	w.After(interval, func() {
		action()
		w.Every(interval, action)
	})
}

// Advance advances the world's time by a duration and runs all events that are due by then.
func (w *World) Advance(d time.Duration) {
	end := w.Now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		event := heap.Pop(&w.queue).(scheduledEvent)
		w.Now = event.at
		event.action()
	}
	w.Now = end
}
