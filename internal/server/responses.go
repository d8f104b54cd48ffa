package server

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"coppercourse/internal/apierror"
	"coppercourse/internal/wire"
)

// writeJSON writes a response whose body is JSON.
func writeJSON(w http.ResponseWriter, statusCode int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(statusCode)
	w.Write(body)
}

// WriteError writes an error as a response, with the status code of its kind and, where it
// has a retry delay, a Retry-After header.
func WriteError(w http.ResponseWriter, err *apierror.Error) {
	if err.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(err.RetryAfterSeconds))
	}
	writeJSON(w, err.StatusCode(), wire.EncodeBody(err))
}

// WriteResponse writes the machine's response to a request.
func WriteResponse(w http.ResponseWriter, response wire.Response) {
	if response.Error != nil {
		WriteError(w, response.Error)
		return
	}
	writeJSON(w, response.StatusCode, response.Body)
}

// ReadBody reads a request's body. It returns an error if the body is larger than maxBytes or
// truncated.
func ReadBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, *apierror.Error) {
	var buffer bytes.Buffer
	if r.ContentLength > 0 {
		buffer.Grow(int(min(r.ContentLength, maxBytes)) + bytes.MinRead)
	}
	_, err := buffer.ReadFrom(http.MaxBytesReader(w, r.Body, maxBytes))
	if err == nil {
		return buffer.Bytes(), nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, apierror.New(apierror.TooLarge, "", fmt.Sprintf("larger than %d bytes", maxBytes))
	}
	return nil, apierror.New(apierror.BodyCutShort, "", "the request body was truncated; retry the same request")
}

// ReadBodyOrReject reads a request's body. On failure it writes the error and returns false.
func ReadBodyOrReject(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, bool) {
	body, err := ReadBody(w, r, maxBytes)
	if err != nil {
		WriteError(w, err)
	}
	return body, err == nil
}
