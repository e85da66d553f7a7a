package httpheader

import (
	"net/http"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

// maxNameText is the maximum number of bytes of an invalid name that an error contains.
const maxNameText = 40

// CheckNames returns an error if a name in the headers or trailers of an answer is not a token (RFC 9110, section 5.6.2). net/http
// accepts names with blanks and takes them for other fields: it does not use the length that a line "Content-Length : 5" states.
func CheckNames(headers ...http.Header) error {
	for _, h := range headers {
		for name := range h {
			if !httpguts.ValidHeaderFieldName(name) {
				return errors.Errorf("invalid header name %q", name[:min(len(name), maxNameText)])
			}
		}
	}
	return nil
}
