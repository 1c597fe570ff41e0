package rpc

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	readHeaderTimeout = 5 * time.Second
	// MaxMessageBytes bounds a decoded message. A full snapshot of the largest allowed configuration
	// is smaller.
	MaxMessageBytes = 16 << 20
)

// Handler is a connect handler and its path.
type Handler struct {
	Path    string
	Handler http.Handler
}

// NewHandler returns a Handler from the results of a generated constructor.
func NewHandler(path string, h http.Handler) Handler { return Handler{Path: path, Handler: h} }

// Server serves connect handlers on one listener.
type Server struct {
	http *http.Server
}

// NewServer returns a server for the handlers.
func NewServer(handlers ...Handler) *Server {
	mux := http.NewServeMux()
	for _, h := range handlers {
		mux.Handle(h.Path, h.Handler)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &Server{http: &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout}}
}

// Serve serves l until Shutdown or Close, after which it returns nil.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown waits for requests in progress. When the context ends first, it closes
// their connections.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return s.http.Close()
	}
	return nil
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.http.Close() }
