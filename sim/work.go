// The stand-in worker as a process of its own: it calls its agent over HTTP and
// appends what happens to a history file, each line written at once.
package sim

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand"
	"net/http"
	"os"
	"sync"
	"time"

	"coppercourse/internal/dispatch/protocol"
	"coppercourse/internal/server"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/history"
	"coppercourse/sim/worker"
)

// RunningAttempt runs a worker until ctx ends.
func RunWorkerProcess(ctx context.Context, spec history.WorkerSpec, id, agent, sourceIP, historyPath string, seed int64) error {
	file, err := os.OpenFile(historyPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	record := func(h history.Event) {
		h.At = time.Now().UnixNano()
		file.Write(append(wire.EncodeBody(h), '\n'))
	}
	var mu sync.Mutex
	w := worker.NewPolling(spec, types.ID(id), rand.New(rand.NewSource(seed)), record)
	w.HasUpdate = true // so that the first poll is sent at once
	record(history.Event{Kind: history.WorkerStaying, Process: id, Shard: spec.Shard, Worker: &spec})
	client := server.NewClient(sourceIP, 500*time.Millisecond)
	reported := map[types.AttemptID]bool{}
	poll := func(p protocol.Poll) {
		a, ok := postPoll(ctx, client, agent, p)
		if !ok {
			time.Sleep(20 * time.Millisecond)
		}
		mu.Lock()
		if ok {
			for _, e := range p.Ended {
				if !reported[e.Attempt] {
					reported[e.Attempt] = true
					record(history.Event{Kind: history.EndReported, Process: agent, Attempt: e.Attempt, Outcome: e.Outcome})
				}
			}
			w.HandleReply(server.Now().Mono, a)
		}
		w.HasUpdate = w.HasUpdate || w.IsLatest(p)
		mu.Unlock()
	}
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	for {
		mu.Lock()
		w.Tick(server.Now().Mono)
		if w.HasUpdate {
			go poll(w.NextPoll(server.Now().Mono))
		}
		mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func postPoll(ctx context.Context, client *http.Client, agent string, p protocol.Poll) (a protocol.PollReply, ok bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+agent+"/v1/poll", bytes.NewReader(wire.EncodeBody(p)))
	if err != nil {
		return a, false
	}
	res, err := client.Do(req)
	if err != nil {
		return a, false
	}
	defer res.Body.Close()
	ok = json.NewDecoder(res.Body).Decode(&a) == nil && res.StatusCode == 200
	return
}
