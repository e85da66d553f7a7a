package httpserver

import "net"

// listener tracks the connections that it accepts, and refuses those for which the server's limits have no room.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		socket, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: socket, server: l.server}
		if l.server.options.Limits != nil {
			g, ok := l.server.admit(socket)
			if !ok {
				continue
			}
			c.Conn, c.guard = g, g
		}
		l.server.track(c)
		return c, nil
	}
}
