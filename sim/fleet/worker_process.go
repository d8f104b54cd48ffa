package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
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

const (
	pollTimeout        = 500 * time.Millisecond
	pollRetryDelay     = 20 * time.Millisecond
	workerTickInterval = 5 * time.Millisecond
)

// workerProcess is a simulated worker in a separate process. It polls its agent over HTTP and
// appends events to a history file, each line with a single write.
type workerProcess struct {
	agent   string
	client  *http.Client
	history *os.File

	mu       sync.Mutex
	worker   *worker.Polling
	reported map[types.AttemptID]bool // attempts whose ends the agent has received
}

// RunWorkerProcess runs a worker until the context ends.
func RunWorkerProcess(
	ctx context.Context, spec history.WorkerSpec, id, agent, sourceIP, historyPath string, seed int64,
) error {
	file, err := os.OpenFile(historyPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	w := &workerProcess{
		agent:    agent,
		client:   server.NewClient(sourceIP, pollTimeout),
		history:  file,
		reported: map[types.AttemptID]bool{},
	}
	w.worker = worker.NewPolling(spec, types.ID(id), rand.New(rand.NewSource(seed)), w.record)
	w.worker.HasUpdate = true // send the first poll immediately
	w.record(history.Event{Kind: history.WorkerStaying, Process: id, Shard: spec.Shard, Worker: &spec})
	ticker := time.NewTicker(workerTickInterval)
	defer ticker.Stop()
	for {
		w.tick(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (w *workerProcess) record(event history.Event) {
	event.At = time.Now().UnixNano()
	if _, err := w.history.Write(append(wire.EncodeBody(event), '\n')); err != nil {
		fmt.Fprintln(os.Stderr, "worker: history:", err)
	}
}

// tick advances the running tasks and sends a poll if there is an update.
func (w *workerProcess) tick(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := server.Now().Mono
	w.worker.Tick(now)
	if w.worker.HasUpdate {
		go w.poll(ctx, w.worker.NextPoll(now))
	}
}

// poll sends a poll and applies the reply. After a failure it waits before the poll may be sent again.
func (w *workerProcess) poll(ctx context.Context, poll protocol.Poll) {
	reply, ok := w.send(ctx, poll)
	if !ok {
		time.Sleep(pollRetryDelay)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if ok {
		w.recordReported(poll.Ended)
		w.worker.HandleReply(server.Now().Mono, reply)
	}
	w.worker.HasUpdate = w.worker.HasUpdate || w.worker.IsLatest(poll)
}

// recordReported records the ends that the agent has received, each once.
func (w *workerProcess) recordReported(ended []protocol.EndedTask) {
	for _, end := range ended {
		if w.reported[end.Attempt] {
			continue
		}
		w.reported[end.Attempt] = true
		w.record(history.Event{
			Kind:    history.EndReported,
			Process: w.agent,
			Attempt: end.Attempt,
			Outcome: end.Outcome,
		})
	}
}

func (w *workerProcess) send(ctx context.Context, poll protocol.Poll) (reply protocol.PollReply, ok bool) {
	body := bytes.NewReader(wire.EncodeBody(poll))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.agent+"/v1/poll", body)
	if err != nil {
		return reply, false
	}
	res, err := w.client.Do(req)
	if err != nil {
		return reply, false
	}
	defer res.Body.Close()
	decoded := json.NewDecoder(res.Body).Decode(&reply) == nil
	return reply, decoded && res.StatusCode == http.StatusOK
}
