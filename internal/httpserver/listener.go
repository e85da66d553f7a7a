package httpserver

import "net"

// listener tracks the connections that it accepts.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: socket, server: l.server}
	l.server.track(c)
	return c, nil
}
