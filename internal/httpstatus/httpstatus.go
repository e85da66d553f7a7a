// Package httpstatus contains the rule by which all clients tell an HTTP answer from bytes that are not one.
package httpstatus

// Bounds of the statuses that HTTP defines (RFC 9110, section 15).
const (
	lowest  = 100
	highest = 599
)

// IsValid reports whether an answer may have a status. An answer with another one, such as 000, comes from a faulty server and is not
// passed on.
func IsValid(status int) bool { return status >= lowest && status <= highest }
