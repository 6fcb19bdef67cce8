package integrity

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrInvalidStatus is returned for a response that a recipient must not use, because its status
// is not one of a response to its request.
var ErrInvalidStatus = errors.New("response has an invalid status")

// firstInvalidStatus is the first status above those that HTTP defines classes for.
const firstInvalidStatus = 600

// CheckStatus reports whether a response is interim, so that another one follows it. It returns
// ErrInvalidStatus for a status outside the classes of RFC 9110, section 15, for 101, as no
// request asks for another protocol, and for an interim response that states a body, which would be
// read as the next response.
func CheckStatus(r *http.Response) (interim bool, err error) {
	switch {
	case IsFinal(r.StatusCode):
		return false, nil
	case r.StatusCode < http.StatusContinue || r.StatusCode >= firstInvalidStatus || r.StatusCode == http.StatusSwitchingProtocols:
		return false, fmt.Errorf("%w %03d", ErrInvalidStatus, r.StatusCode)
	case r.Header.Get("Content-Length") != "" || len(r.TransferEncoding) > 0:
		return false, fmt.Errorf("%w: %d with a body", ErrInvalidStatus, r.StatusCode)
	}
	return true, nil
}

// IsFinal reports whether a status is one of a response to a request.
func IsFinal(status int) bool { return status >= http.StatusOK && status < firstInvalidStatus }

// IsSuccess reports whether a status states that a request has succeeded.
func IsSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
