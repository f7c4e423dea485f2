// Package stricthttptest provides responses, well-formed and malformed, and servers that send them, for the tests of all
// HTTP clients.
package stricthttptest

import (
	"fmt"
	"maps"
	"strings"
)

// WellFormed returns responses that a client has to accept, by name. Each has status 200, the header fields, which end with
// a line end, and the body. Those whose name begins with "unframed" end with their connection.
func WellFormed(fields, body string) map[string]string {
	framed := withLength("HTTP/1.1 200 OK", fields, body)
	return map[string]string{
		"length":                framed,
		"no reason phrase":      withLength("HTTP/1.1 200", fields, body),
		"empty value":           withLength("HTTP/1.1 200 OK", "X-Empty:\r\n"+fields, body),
		"unusual field name":    withLength("HTTP/1.1 200 OK", "x!#$%&'*+.^_`|~9-A: \xe4\t1\r\n"+fields, body),
		"chunked":               "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body) + "\r\n",
		"chunked, trailer":      "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body) + "X-Sum: 1\r\n\r\n",
		"unframed":              "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body,
		"unframed, HTTP/1.0":    "HTTP/1.0 200 OK\r\n" + fields + "\r\n" + body,
		"interim responses":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + framed,
		"interim with length 0": "HTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\n" + framed,
	}
}

// Malformed returns responses that no client may accept, by name.
func Malformed(fields, body string) map[string]string {
	responses := InvalidStatus(fields, body)
	maps.Copy(responses, InvalidFields(fields, body))
	return responses
}

// InvalidStatus returns responses whose status line is not one of HTTP/1.1, or whose status no client can have asked for,
// by name. Each holds a well-formed response in its body, which is not the answer.
func InvalidStatus(fields, body string) map[string]string {
	hidden := withLength("HTTP/1.1 200 OK", fields, body)
	responses := make(map[string]string)
	for _, line := range []string{
		"HTTP/1.1 000 Trouble", "HTTP/1.1 000", "HTTP/1.1 001 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 600 Trouble", "HTTP/1.1 999 Trouble",
		"HTTP/1.1 +20 Trouble", "HTTP/1.1 -00 Trouble", "HTTP/1.1 20 Trouble", "HTTP/1.1 2000 Trouble", "HTTP/1.1 2x0 Trouble",
		"HTTP/1.1  200 OK", "HTTP/2.0 200 OK", "HTTP/1.1 101 Switching Protocols",
	} {
		responses[line] = withLength(line, fields, hidden)
		responses[line+", no length"] = line + "\r\n" + fields + "\r\n" + hidden
	}
	return responses
}

// InvalidFields returns responses with status 200 and a field that is malformed, or that a response of that kind can't have,
// by name. If a malformed field is the length or the coding, the connection ends within the body.
func InvalidFields(fields, body string) map[string]string {
	responses := make(map[string]string)
	for _, line := range []string{
		"X Trouble: 1", "X-Trouble : 1", "X-Trouble\t: 1", " X-Trouble: 1", "\tX-Trouble: 1", ": 1", "X-Trouble",
		"X\x00Trouble: 1", "X\x01Trouble: 1", "X\x7fTrouble: 1", "X\rTrouble: 1", "X\xe4Trouble: 1", "X(Trouble): 1", "X-Trouble: a\x00b", "X-Trouble: a\rb",
	} {
		responses[fmt.Sprintf("%q, first", line)] = withLength("HTTP/1.1 200 OK", line+"\r\n"+fields, body)
		responses[fmt.Sprintf("%q, later", line)] = withLength("HTTP/1.1 200 OK", fields+line+"\r\n", body)
		responses[fmt.Sprintf("%q, interim", line)] = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + withLength("HTTP/1.1 200 OK", fields, body)
	}
	part := body[:len(body)/2]
	for _, line := range []string{"Content-Length : %d", "Content Length: %d", " Content-Length: %d", "Content-Length\t: %d"} {
		responses[line] = "HTTP/1.1 200 OK\r\n" + fields + fmt.Sprintf(line, len(body)) + "\r\n\r\n" + part
	}
	for _, line := range []string{"Transfer-Encoding : chunked", "Transfer Encoding: chunked", " Transfer-Encoding: chunked"} {
		responses[line] = "HTTP/1.1 200 OK\r\n" + fields + line + "\r\n\r\n" + chunked(body) + "\r\n"
		responses[line+", and a length"] = "HTTP/1.1 200 OK\r\n" + fields + line + "\r\nContent-Length: 1\r\n\r\n" + chunked(body) + "\r\n"
	}
	hidden := withLength("HTTP/1.1 200 OK", fields, body)
	responses["interim with a length"] = withLength("HTTP/1.1 103 Early Hints", "", hidden)
	responses["interim with chunks"] = "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden
	responses["coding in HTTP/1.0"] = "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body) + "\r\n"
	return responses
}

// InvalidTrailers returns responses with status 200 and a malformed field after the body, by name.
func InvalidTrailers(fields, body string) map[string]string {
	responses := make(map[string]string)
	for _, line := range []string{"X Trouble: 1", "X-Trouble : 1", " X-Trouble: 1", "X\x01Trouble: 1", "X-Trouble"} {
		responses[fmt.Sprintf("%q, trailer", line)] = "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body) + line + "\r\n\r\n"
	}
	return responses
}

func withLength(statusLine, fields, body string) string {
	return fmt.Sprintf("%s\r\n%sContent-Length: %d\r\n\r\n%s", statusLine, fields, len(body), body)
}

// chunked encodes a body in two chunks, without the trailers and the empty line after them.
func chunked(body string) string {
	var encoded strings.Builder
	for _, part := range []string{body[:len(body)/2], body[len(body)/2:]} {
		if part != "" {
			fmt.Fprintf(&encoded, "%x\r\n%s\r\n", len(part), part)
		}
	}
	return encoded.String() + "0\r\n"
}
