// Callers of a real fleet: over HTTP, each request on a connection of its own,
// to gateways that say they are ready; the same job is sent again wherever the
// answer was lost, when the answer says so.
package sim

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/controller"
	"coppercourse/internal/server"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// Workload is all callers of a fleet.
type Workload struct {
	f       *Fleet
	rnd     *rand.Rand
	mu      sync.Mutex
	next    int
	open    atomic.Bool
	ready   atomic.Pointer[[]*proc]
	client  *http.Client
	work    sync.WaitGroup
	Cancel  float64
	Speed   float64
	Takes   []float64 // ms from sending to acceptance
	Ends    []float64 // ms from sending to done, as seen
	Denials map[apierror.Kind]int
	Drops   atomic.Int64
	slots   chan struct{}
}

func NewWorkload(f *Fleet, seed int64, speed float64) *Workload {
	s := &Workload{f: f, rnd: rand.New(rand.NewSource(seed)), client: server.NewClient("127.0.9.1", 4*time.Second), Cancel: 0.04,
		Speed: speed, Denials: map[apierror.Kind]int{}, slots: make(chan struct{}, 3000)}
	s.client.Transport.(*http.Transport).DisableKeepAlives = true
	list := f.of("gateway")
	s.ready.Store(&list)
	s.open.Store(true)
	return s
}

// Watch keeps the list of ready gateways, as the platform does.
func (w *Workload) Watch() {
	for w.f.ctx.Err() == nil {
		var list []*proc
		for _, p := range w.f.of("gateway") {
			var v any
			if !p.down.Load() && !p.ice.Load() && w.f.page(p, "/ready", &v) == nil {
				list = append(list, p)
			}
		}
		if len(list) > 0 {
			w.ready.Store(&list)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (w *Workload) chance(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.Intn(n)
}

func (w *Workload) gateway() *proc {
	list := *w.ready.Load()
	return list[w.chance(len(list))]
}

// Flow sends jobs of one shape until the workload is closed.
func (w *Workload) Flow(fl Flow) {
	w.work.Add(1)
	defer w.work.Done()
	for w.open.Load() {
		gap := float64(fl.Every) / w.Speed
		time.Sleep(time.Duration((0.5 + float64(w.chance(1000))/1000) * gap))
		w.mu.Lock()
		w.next++
		id := types.JobID(fmt.Sprintf("%s-%d", fl.Queue, w.next))
		spec := fl.Spec(w.rnd)
		w.mu.Unlock()
		select {
		case w.slots <- struct{}{}:
			w.f.Tell(HistoryEvent{What: Sent, Job: id, Spec: &spec})
			w.work.Add(1)
			go func() {
				defer w.work.Done()
				defer func() { <-w.slots }()
				w.job(id, wire.EncodeBody(spec))
			}()
		default:
		}
	}
}

// try asks once. A request that was taken up and got no answer from a gateway
// that nobody killed is a drop.
func (w *Workload) try(method, path string, body []byte) (code int, b []byte) {
	g := w.gateway()
	req, err := http.NewRequestWithContext(w.f.ctx, method, fmt.Sprintf("http://%s:%d%s", g.ip, w.f.Port, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	res, err := w.client.Do(req)
	if err == nil {
		defer res.Body.Close()
		b, err = io.ReadAll(res.Body)
		code = res.StatusCode
	}
	if err != nil {
		if (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)) && !g.down.Load() && !g.ice.Load() {
			w.Drops.Add(1)
			w.f.Tell(HistoryEvent{What: Dropped, Who: g.name, Text: err.Error()})
		}
		return 0, nil
	}
	return
}

func (w *Workload) job(id types.JobID, body []byte) {
	from := time.Now()
	for n := 0; ; n++ {
		code, b := w.try(http.MethodPut, "/v1/jobs/"+string(id), body)
		if code == 200 || code == 201 {
			break
		}
		if n > 60 || w.f.ctx.Err() != nil || !w.later(code, b) {
			w.f.Tell(HistoryEvent{What: Denied, Job: id, Text: string(b)})
			return
		}
	}
	w.f.Tell(HistoryEvent{What: Accepted, Job: id})
	w.message(&w.Takes, from)
	if w.chance(1000) < int(w.Cancel*1000) {
		time.Sleep(time.Duration(w.chance(2000)) * time.Millisecond)
		for range 20 {
			code, b := w.try(http.MethodPost, "/v1/jobs/"+string(id)+"/cancel", nil)
			if code == 200 || code == 202 {
				w.f.Tell(HistoryEvent{What: Halt, Job: id})
				break
			}
			if !w.later(code, b) {
				break
			}
		}
	}
	for w.f.ctx.Err() == nil {
		time.Sleep(150*time.Millisecond + time.Duration(w.chance(150))*time.Millisecond)
		code, b := w.try(http.MethodGet, "/v1/jobs/"+string(id), nil)
		var v controller.JobView
		switch {
		case code == 404:
			w.f.Tell(HistoryEvent{What: Missed, Job: id})
			return
		case code != 200 || json.Unmarshal(b, &v) != nil:
			w.later(code, b)
			continue
		}
		if v.State == "done" || v.State == "failed" || v.State == "cancelled" {
			w.f.Tell(HistoryEvent{What: Saw, Job: id, Stage: v.State, Text: v.Reason})
			if v.State == "done" {
				w.message(&w.Ends, from)
			}
			return
		}
	}
}

// later waits as an answer says, and tells whether to ask again at all.
func (w *Workload) later(code int, b []byte) bool {
	var f apierror.Error
	if code == 0 {
		time.Sleep(100 * time.Millisecond)
		return true
	}
	json.Unmarshal(b, &f)
	w.mu.Lock()
	w.Denials[f.Kind]++
	w.mu.Unlock()
	if code != 503 && code != 429 {
		return false
	}
	time.Sleep(time.Duration(max(f.RetryAfterSeconds, 1)) * time.Second)
	return true
}

func (w *Workload) message(to *[]float64, from time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*to = append(*to, float64(time.Since(from).Microseconds())/1000)
}

// Put puts a table until it is taken or refused; it gives the version.
func (w *Workload) Put(t config.Table) (types.Version, error) {
	w.f.Tell(HistoryEvent{What: TableTry, Table: &t})
	for range 60 {
		code, b := w.try(http.MethodPut, "/v1/table", wire.EncodeBody(t))
		if code == 200 {
			got := t.Accepted()
			w.f.Tell(HistoryEvent{What: TableAck, Table: &got})
			return got.Version, nil
		}
		if !w.later(code, b) {
			w.f.Tell(HistoryEvent{What: TableNo, Table: &t, Text: string(b)})
			return 0, fmt.Errorf("table refused: %s", b)
		}
	}
	return 0, errors.New("the table was never taken")
}

// Races has two operators put different tables on one version, now and then.
func (w *Workload) Races() {
	w.work.Add(1)
	defer w.work.Done()
	for w.open.Load() {
		time.Sleep(3 * time.Second)
		var t config.Table
		began := strconv.FormatInt(time.Since(w.f.start).Nanoseconds(), 10)
		code, b := w.try(http.MethodGet, "/v1/table", nil)
		if code != 200 || json.Unmarshal(b, &t) != nil || len(t.Queues) < 2 {
			continue
		}
		w.f.Tell(HistoryEvent{What: TableSaw, Table: &t, Text: began})
		var two sync.WaitGroup
		for range 2 {
			n := config.Table{Version: t.Version, Queues: append([]config.Queue(nil), t.Queues...)}
			n.Queues[0].Weight = 1 + w.chance(900)
			two.Add(1)
			go func() { defer two.Done(); w.Put(n) }()
		}
		two.Wait()
	}
}

// Close sends no more jobs and waits for those under way to be seen ended.
func (w *Workload) Close(limit time.Duration) bool {
	w.open.Store(false)
	done := make(chan struct{})
	go func() { w.work.Wait(); close(done) }()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}
