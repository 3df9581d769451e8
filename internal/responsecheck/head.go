package responsecheck

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Status codes that HTTP defines. A status below 100 would be taken for an informational response, and its body for the next response.
const (
	minStatus = 100
	maxStatus = 599
)

// maxQuoted is the length in bytes to which a line is cut in error messages.
const maxQuoted = 64

// Errors of malformed headers. They are wrapped with the line.
var (
	ErrStatusLine       = errors.New("malformed status line")
	ErrStatus           = errors.New("status code that HTTP doesn't define")
	ErrFieldLine        = errors.New("malformed header field")
	ErrFoldedLine       = errors.New("folded header field")
	ErrTransferEncoding = errors.New("transfer coding in HTTP/1.0")
	ErrUpgrade          = errors.New("change of the protocol without being asked")
)

// Head checks the header of one response. The zero value expects the status line.
type Head struct {
	begun  bool // the status line was checked
	http10 bool
}

// Check checks the complete lines in data, which continues the data of earlier calls after the bytes that these have checked. It returns
// how many bytes it has checked and whether they end with the empty line behind the header.
func (h *Head) Check(data []byte) (checked int, end bool, err error) {
	for {
		line, _, complete := bytes.Cut(data[checked:], []byte("\n"))
		if !complete {
			return checked, false, nil
		}
		checked += len(line) + 1
		line = bytes.TrimSuffix(line, []byte("\r"))
		if h.begun && len(line) == 0 {
			return checked, true, nil
		}
		if err := h.checkLine(line); err != nil {
			return checked, false, err
		}
	}
}

func (h *Head) checkLine(line []byte) error {
	if !h.begun {
		h.begun = true
		return h.checkStatusLine(line)
	}
	name, _, err := Field(line)
	if err != nil {
		return err
	}
	if h.http10 && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return lineError(ErrTransferEncoding, line)
	}
	return nil
}

// checkStatusLine checks protocol version and status code.
func (h *Head) checkStatusLine(line []byte) error {
	proto, rest, _ := bytes.Cut(line, []byte(" "))
	major, minor, ok := http.ParseHTTPVersion(string(proto))
	if !ok || major != 1 {
		return lineError(ErrStatusLine, line)
	}
	h.http10 = minor == 0
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status, ok := parseStatus(code)
	if !ok {
		return lineError(ErrStatusLine, line)
	}
	if !validStatus(status) {
		return lineError(ErrStatus, line)
	}
	return nil
}

// parseStatus parses a status code of three digits.
func parseStatus(code []byte) (status int, ok bool) {
	if len(code) != 3 {
		return 0, false
	}
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		status = 10*status + int(digit-'0')
	}
	return status, true
}

func validStatus(code int) bool { return code >= minStatus && code <= maxStatus }

// Field splits a header line behind the status line, without its line end, into its name and value. The value may have white space
// around it.
func Field(line []byte) (name, value []byte, err error) {
	if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
		return nil, nil, lineError(ErrFoldedLine, line)
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)) {
		return nil, nil, lineError(ErrFieldLine, line)
	}
	return name, value, nil
}

func lineError(err error, line []byte) error {
	return fmt.Errorf("%w: %q", err, line[:min(len(line), maxQuoted)])
}
