// Package transport transfers bytes without knowledge of their meaning. It provides
//
//   - a strict HTTP/1.1 parser for requests (http_request.go) and responses
//     (http_response.go), which rejects what it does not know;
//   - Server, which serves HTTP and the link between controllers on evio. evio only
//     serves and has no outbound connections;
//   - Client, which sends HTTP requests to one address over net connections that it
//     keeps open;
//   - the one-way link between controllers. It carries frames, each of which is a length
//     followed by a separate gob stream (frame.go). PeerClient sends the frames over a
//     net connection.
//
// The package may not import the packages above it. It contains no path, no type of a frame
// and no JSON field except "error" in its own refusals; those belong to packages protocol
// and coordination. From net/http it uses the names of methods and statuses.
//
// Goroutines: Server.Run is evio's loop and returns after Stop. Client starts none. Each
// PeerClient starts one, which lives as long as the process. The settings fix the peers, so
// no caller would close a PeerClient.
package transport
