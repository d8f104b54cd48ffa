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

	"coppercourse/internal/dispatch"
	"coppercourse/internal/server"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// RunningAttempt runs a worker until ctx ends.
func WorkerRun(ctx context.Context, m WorkerSpec, id, agent, source, history string, seed int64) error {
	file, err := os.OpenFile(history, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	tell := func(h HistoryEvent) {
		h.At = time.Now().UnixNano()
		file.Write(append(wire.EncodeBody(h), '\n'))
	}
	var mu sync.Mutex
	w := NewWorker(m, types.ID(id), rand.New(rand.NewSource(seed)), tell)
	tell(HistoryEvent{What: Staying, Who: id, Shard: m.Shard, Make: &m})
	client := server.NewClient(source, 500*time.Millisecond)
	told := map[types.AttemptID]bool{}
	call := func(p dispatch.Poll) {
		a, ok := post(ctx, client, agent, p)
		if !ok {
			time.Sleep(20 * time.Millisecond)
		}
		mu.Lock()
		if ok {
			for _, e := range p.Ended {
				if !told[e.Attempt] {
					told[e.Attempt] = true
					tell(HistoryEvent{What: Heard, Who: agent, Attempt: e.Attempt, Outcome: e.Outcome})
				}
			}
			w.Take(server.Now().Mono, a)
		}
		w.News = w.News || p.Call == w.call
		mu.Unlock()
	}
	t := time.NewTicker(5 * time.Millisecond)
	defer t.Stop()
	for {
		mu.Lock()
		w.Tick(server.Now().Mono)
		if w.News || w.call == 0 {
			go call(w.Call(server.Now().Mono))
		}
		mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func post(ctx context.Context, client *http.Client, agent string, p dispatch.Poll) (a dispatch.PollReply, ok bool) {
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
