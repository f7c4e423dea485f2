package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/amaranthlb/amaranthlb/internal/replay"
	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// shownLines bounds the lines of the answer that are printed.
const shownLines = 8

// showAnswer sends one streamed chat through the balancer and prints the beginning of its answer.
func showAnswer(ctx context.Context, running *fleet.Fleet, d *replay.Deployment) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`, d.Pools[0].Name)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+running.Balancer+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+d.Customers[0].Key)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	fmt.Println("a streamed answer:", response.Status)
	lines := bufio.NewScanner(response.Body)
	for shown := 0; lines.Scan() && shown < shownLines; {
		if text := lines.Text(); strings.HasPrefix(text, "data: ") {
			fmt.Printf("  %.150s\n", text)
			shown++
		}
	}
	return lines.Err()
}
