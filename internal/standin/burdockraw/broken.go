package burdockraw

import "fmt"

// BrokenAnswer is an answer that no client may believe.
type BrokenAnswer struct {
	Name string
	Answer
}

// BrokenAnswers returns answers with the body of a sound one, JSON, or a part of it.
func BrokenAnswers(body string) []BrokenAnswer {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	part := body[:len(body)-1]
	broken := []BrokenAnswer{
		{Name: "status 000", Answer: Answer{Text: "HTTP/1.1 000 OK\r\n" + length + "\r\n" + body}},
		{Name: "status 101", Answer: Answer{Text: "HTTP/1.1 101 OK\r\n" + length + "\r\n" + body}},
		{Name: "status 600", Answer: Answer{Text: "HTTP/1.1 600 OK\r\n" + length + "\r\n" + body}},
		{Name: "blank in a name", Answer: Answer{Text: "HTTP/1.1 200 OK\r\nX Broken: 1\r\n" + length + "\r\n" + body}},
		{Name: "blank before the colon of the length", Answer: Answer{Text: "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n" + body}},
		{Name: "control byte in a name", Answer: Answer{Text: "HTTP/1.1 200 OK\r\nX\x01Broken: 1\r\n" + length + "\r\n" + body}},
		{Name: "cut", Answer: Answer{Text: "HTTP/1.1 200 OK\r\n" + length + "\r\n" + part}},
		{Name: "cut in a chunk", Answer: Answer{Text: fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", len(body), part)}},
		{Name: "cut without a length", Answer: Answer{Text: "HTTP/1.1 200 OK\r\n\r\n" + part}},
	}
	for i := range broken {
		broken[i].Ending = Close
	}
	return broken
}
