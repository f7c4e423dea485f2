package replay

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// sseEvent is one server-sent event.
type sseEvent struct {
	id, name, data string
}

// readEvents calls handle for each event until the stream ends. As the format says, an event without data is
// left out, and so is a last event without its blank line.
func readEvents(source io.Reader, handle func(sseEvent) error) error {
	reader := bufio.NewReader(source)
	var event sseEvent
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\r\n")
		if line != "" {
			event.field(line)
			continue
		}
		if event.data != "" {
			if err := handle(event); err != nil {
				return err
			}
		}
		event = sseEvent{}
	}
}

func (e *sseEvent) field(line string) {
	name, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch name {
	case "id":
		e.id = value
	case "event":
		e.name = value
	case "data":
		e.data += value
	}
}

// sequence returns the number of an event, which follows the last dot of its id.
func (e *sseEvent) sequence() (int, bool) {
	n, err := strconv.Atoi(e.id[strings.LastIndexByte(e.id, '.')+1:])
	return n, err == nil
}

// answerChunk is what the client reads of a completion chunk.
type answerChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens        int `json:"prompt_tokens"`
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Placement string `json:"placement"`
}

// refusal is an error in the fleet's JSON form.
type refusal struct {
	Code         reason.Reason `json:"code"`
	Message      string        `json:"message"`
	Ran          reason.Ran    `json:"ran"`
	RetryAfterMS int64         `json:"retry_after_ms"`
}

// notRefusal is the code of an error answer that is not in the fleet's form.
const notRefusal reason.Reason = "not_a_refusal"

// parseRefusal reads an error. One that is not in the fleet's form says nothing about whether the request ran.
func parseRefusal(body []byte) *refusal {
	var envelope struct {
		Error refusal `json:"error"`
	}
	if err := json.Unmarshal(body, &envelope); err != nil || envelope.Error.Code == "" {
		return &refusal{Code: notRefusal, Ran: reason.MayHaveRun, Message: string(body)}
	}
	return &envelope.Error
}
