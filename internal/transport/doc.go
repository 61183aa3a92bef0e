// Package transport carries bytes and knows nothing of their meaning. It owns
//
//   - a strict HTTP/1.1 parser for requests (http_request.go) and responses
//     (http_response.go): what it does not know, it refuses;
//   - Server, which serves HTTP and the link between controllers on evio. evio serves
//     only: it has no outbound connections;
//   - Client, which sends HTTP requests to one address over net connections that it
//     keeps open;
//   - the one-way link between controllers: frames, each a gob stream of its own with
//     its length in front (frame.go), which PeerClient sends over a net connection.
//
// It may not import the packages above it, and names no path, no JSON field and no type
// of a frame; those belong to packages protocol and coordination. Of net/http it uses
// the names of methods and statuses.
//
// Goroutines: Server.Run is evio's loop and returns after Stop. Client has none. Each
// PeerClient has one, which lives as long as the process: peers are fixed by the
// settings, so no caller would close one.
package transport
