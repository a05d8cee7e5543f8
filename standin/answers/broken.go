// Package answers holds HTTP answers that break the protocol, and a stand-in that sends them.
package answers

import "strings"

// Answer is what an endpoint in trouble sends as the answer to one request.
type Answer struct {
	Name string
	// Text is the answer on the wire.
	Text string
}

// body is the body of the answers, which every reader of JSON accepts, with the end of their head before it.
const body = "\r\n{}"

// Broken returns answers of which no byte may reach a caller. Fields are whole header lines that each
// head has; an endpoint's mark that makes its answers acceptable is among them.
func Broken(fields string) []Answer {
	var all []Answer
	add := func(name, text string) {
		all = append(all, Answer{name, strings.ReplaceAll(text, "FIELDS", fields)})
	}
	for name, line := range brokenLines {
		add("a line with "+name, "HTTP/1.1 200 OK\r\nFIELDS"+line+"\r\nContent-Length: 2\r\n"+body)
	}
	for _, status := range []string{"000", "099", "20", "2000", "+20", "-20", "2x0", "600", "999"} {
		broken := "HTTP/1.1 " + status + " x\r\nFIELDSContent-Length: 0\r\n\r\n"
		add("status "+status, broken)
		add("status "+status+" before another answer", broken+"HTTP/1.1 200 OK\r\nFIELDSContent-Length: 2\r\n"+body)
	}
	for name, text := range brokenHeads {
		add(name, text)
	}
	return all
}

// brokenLines are lines of a head that are no header lines.
var brokenLines = map[string]string{
	"a blank in the name":             "X Odd: v",
	"a blank before the colon":        "X-Odd : v",
	"a blank before the name":         " X-Odd: v",
	"a tab before the name":           "\tX-Odd: v",
	"a tab in the name":               "X\tOdd: v",
	"a NUL in the name":               "X\x00Odd: v",
	"a control byte in the name":      "X\x01Odd: v",
	"a delete in the name":            "X\x7fOdd: v",
	"a carriage return in the name":   "X\rOdd: v",
	"a bracket in the name":           "X(Odd: v",
	"a high byte in the name":         "X\xe9Odd: v",
	"an empty name":                   ": v",
	"no colon":                        "X-Odd",
	"a control byte in the value":     "X-Odd: a\x01b",
	"a NUL in the value":              "X-Odd: a\x00b",
	"a carriage return in the value":  "X-Odd: a\rb",
	"two carriage returns at its end": "X-Odd: a\r",
}

// brokenHeads are answers whose status line or framing is broken.
var brokenHeads = map[string]string{
	"no answer":                          "nonsense\r\n\r\n",
	"a blank line first":                 "\r\nHTTP/1.1 200 OK\r\nFIELDSContent-Length: 2\r\n" + body,
	"a blank before the first name":      "HTTP/1.1 200 OK\r\n X-Odd: v\r\nFIELDSContent-Length: 2\r\n" + body,
	"no status":                          "HTTP/1.1\r\nFIELDSContent-Length: 2\r\n" + body,
	"version 2.0":                        "HTTP/2.0 200 OK\r\nFIELDSContent-Length: 2\r\n" + body,
	"version 0.9":                        "HTTP/0.9 200 OK\r\nFIELDSContent-Length: 2\r\n" + body,
	"a control byte in the reason":       "HTTP/1.1 200 O\x01K\r\nFIELDSContent-Length: 2\r\n" + body,
	"a length with a blank in its name":  "HTTP/1.1 200 OK\r\nFIELDSContent-Length : 2\r\n" + body + "more",
	"chunks with a blank in their name":  "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding : chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"version 1.0 and chunks":             "HTTP/1.0 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"version 1.0, chunks and a length":   "HTTP/1.0 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\nContent-Length: 2\r\n" + body,
	"an unknown transfer encoding":       "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: gzip\r\n" + body,
	"two lengths":                        "HTTP/1.1 200 OK\r\nFIELDSContent-Length: 2\r\nContent-Length: 1\r\n" + body,
	"a length with a sign":               "HTTP/1.1 200 OK\r\nFIELDSContent-Length: +2\r\n" + body,
	"a negative length":                  "HTTP/1.1 200 OK\r\nFIELDSContent-Length: -2\r\n" + body,
	"a length that is no number":         "HTTP/1.1 200 OK\r\nFIELDSContent-Length: 2x\r\n" + body,
	"an empty length":                    "HTTP/1.1 200 OK\r\nFIELDSContent-Length:\r\n" + body,
	"a chunk size that is no number":     "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\n\r\nx\r\n{}\r\n0\r\n\r\n",
	"a chunk longer than its size":       "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\n\r\n1\r\n{}\r\n0\r\n\r\n",
	"no last chunk":                      "HTTP/1.1 200 OK\r\nFIELDSTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
	"a body that ends before its length": "HTTP/1.1 200 OK\r\nFIELDSContent-Length: 3\r\n" + body,
	"an interim answer with a broken name": "HTTP/1.1 103 Early Hints\r\nX Odd: v\r\n\r\nHTTP/1.1 200 OK\r\nFIELDS" +
		"Content-Length: 2\r\n" + body,
}

// UnusualStatus and UnusualBody are those of the answers of Unusual.
const (
	UnusualStatus = 201
	UnusualBody   = "{}"
)

// Unusual returns answers that are whole, although few endpoints send such. Fields are as in Broken.
func Unusual(fields string) []Answer {
	var all []Answer
	for name, text := range unusualAnswers {
		all = append(all, Answer{name, strings.ReplaceAll(text, "FIELDS", fields)})
	}
	return all
}

var unusualAnswers = map[string]string{
	"no reason":                          "HTTP/1.1 201 \r\nFIELDSContent-Length: 2\r\n" + body,
	"no reason and no blank":             "HTTP/1.1 201\r\nFIELDSContent-Length: 2\r\n" + body,
	"a high byte in the reason":          "HTTP/1.1 201 \xe9\r\nFIELDSContent-Length: 2\r\n" + body,
	"lines that end without a return":    "HTTP/1.1 201 x\nFIELDSContent-Length: 2\n\n{}",
	"blanks and tabs around a value":     "HTTP/1.1 201 x\r\nFIELDSContent-Length: \t 2 \t\r\n" + body,
	"a tab and a high byte in a value":   "HTTP/1.1 201 x\r\nFIELDSX-Odd: a\tb\xe9\r\nContent-Length: 2\r\n" + body,
	"an empty value":                     "HTTP/1.1 201 x\r\nFIELDSX-Odd:\r\nContent-Length: 2\r\n" + body,
	"all bytes of a name":                "HTTP/1.1 201 x\r\nFIELDS!#$%&'*+-.^_`|~09azAZ: v\r\nContent-Length: 2\r\n" + body,
	"the same length twice":              "HTTP/1.1 201 x\r\nFIELDSContent-Length: 2\r\nContent-Length: 2\r\n" + body,
	"chunks with extensions and trailer": "HTTP/1.1 201 x\r\nFIELDSTransfer-Encoding: chunked\r\n\r\n2;a=b\r\n{}\r\n0\r\nX-Odd: v\r\n\r\n",
	"no length":                          "HTTP/1.1 201 x\r\nFIELDS" + body,
	"version 1.0 without a length":       "HTTP/1.0 201 x\r\nFIELDS" + body,
	"version 1.0 with a length":          "HTTP/1.0 201 x\r\nFIELDSContent-Length: 2\r\n" + body,
	"a head of 60 KB":                    "HTTP/1.1 201 x\r\n" + strings.Repeat("X-Odd: "+strings.Repeat("v", 991)+"\r\n", 60) + "FIELDSContent-Length: 2\r\n" + body,
	"a line of 60 KB":                    "HTTP/1.1 201 x\r\nX-Odd: " + strings.Repeat("v", 60<<10) + "\r\nFIELDSContent-Length: 2\r\n" + body,
	"interim answers first": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Odd: v\r\n\r\n" +
		"HTTP/1.1 201 x\r\nFIELDSContent-Length: 2\r\n" + body,
	"a large head after an interim answer": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 201 x\r\nX-Odd: " + strings.Repeat("v", 30<<10) +
		"\r\nFIELDSContent-Length: 2\r\n" + body,
}
