package simulation

import (
	"container/heap"
	"time"
)

// scheduledEvent is something that happens at a time. Events of the same instant happen in
// the order in which they were scheduled.
type scheduledEvent struct {
	at     time.Duration
	seq    int
	action func()
}

// eventQueue is a heap of events, the next one first.
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

// After schedules an action.
func (w *World) After(delay time.Duration, action func()) {
	w.seq++
	heap.Push(&w.queue, scheduledEvent{at: w.Now + delay, seq: w.seq, action: action})
}

// Every repeats an action, the first time after one interval.
func (w *World) Every(interval time.Duration, action func()) {
	w.After(interval, func() {
		action()
		w.Every(interval, action)
	})
}

// Advance lets time pass, and with it all that is scheduled.
func (w *World) Advance(d time.Duration) {
	end := w.Now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		event := heap.Pop(&w.queue).(scheduledEvent)
		w.Now = event.at
		event.action()
	}
	w.Now = end
}
