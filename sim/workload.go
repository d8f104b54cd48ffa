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
	"coppercourse/sim/deployment"
	"coppercourse/sim/history"
)

// Workload is all callers of a fleet.
type Workload struct {
	fleet       *Fleet
	random      *rand.Rand
	mu          sync.Mutex
	lastJob     int
	open        atomic.Bool
	ready       atomic.Pointer[[]*process]
	client      *http.Client
	pending     sync.WaitGroup
	CancelRate  float64
	Speed       float64
	AcceptTimes []float64 // ms from sending to acceptance
	DoneTimes   []float64 // ms from sending to done, as seen
	Refusals    map[apierror.Kind]int
	Dropped     atomic.Int64
	slots       chan struct{}
}

func NewWorkload(f *Fleet, seed int64, speed float64) *Workload {
	s := &Workload{fleet: f, random: rand.New(rand.NewSource(seed)), client: server.NewClient("127.0.9.1", 4*time.Second), CancelRate: 0.04,
		Speed: speed, Refusals: map[apierror.Kind]int{}, slots: make(chan struct{}, 3000)}
	s.client.Transport.(*http.Transport).DisableKeepAlives = true
	list := f.withRole("gateway")
	s.ready.Store(&list)
	s.open.Store(true)
	return s
}

// WatchReadiness keeps the list of ready gateways, as the platform does.
func (w *Workload) WatchReadiness() {
	for w.fleet.ctx.Err() == nil {
		var list []*process
		for _, p := range w.fleet.withRole("gateway") {
			var v any
			if !p.down.Load() && !p.frozen.Load() && w.fleet.getPage(p, "/ready", &v) == nil {
				list = append(list, p)
			}
		}
		if len(list) > 0 {
			w.ready.Store(&list)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (w *Workload) randomInt(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Intn(n)
}

func (w *Workload) gateway() *process {
	list := *w.ready.Load()
	return list[w.randomInt(len(list))]
}

// RunFlow sends jobs of one shape until the workload is closed.
func (w *Workload) RunFlow(fl deployment.Flow) {
	w.pending.Add(1)
	defer w.pending.Done()
	for w.open.Load() {
		gap := float64(fl.MeanInterval) / w.Speed
		time.Sleep(time.Duration((0.5 + float64(w.randomInt(1000))/1000) * gap))
		w.mu.Lock()
		w.lastJob++
		id := types.JobID(fmt.Sprintf("%s-%d", fl.Queue, w.lastJob))
		spec := fl.NewSpec(w.random)
		w.mu.Unlock()
		select {
		case w.slots <- struct{}{}:
			w.fleet.Record(history.Event{Kind: history.JobSubmitted, Job: id, Spec: &spec})
			w.pending.Add(1)
			go func() {
				defer w.pending.Done()
				defer func() { <-w.slots }()
				w.runJob(id, wire.EncodeBody(spec))
			}()
		default:
		}
	}
}

// request asks once. A request that was taken up and got no answer from a gateway
// that nobody killed is a drop.
func (w *Workload) request(method, path string, body []byte) (code int, b []byte) {
	g := w.gateway()
	req, err := http.NewRequestWithContext(w.fleet.ctx, method, fmt.Sprintf("http://%s:%d%s", g.ip, w.fleet.Port, path), bytes.NewReader(body))
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
		if (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)) && !g.down.Load() && !g.frozen.Load() {
			w.Dropped.Add(1)
			w.fleet.Record(history.Event{Kind: history.RequestDropped, Process: g.name, Text: err.Error()})
		}
		return 0, nil
	}
	return
}

func (w *Workload) runJob(id types.JobID, body []byte) {
	from := time.Now()
	for n := 0; ; n++ {
		code, b := w.request(http.MethodPut, "/v1/jobs/"+string(id), body)
		if code == 200 || code == 201 {
			break
		}
		if n > 60 || w.fleet.ctx.Err() != nil || !w.waitToRetry(code, b) {
			w.fleet.Record(history.Event{Kind: history.JobDenied, Job: id, Text: string(b)})
			return
		}
	}
	w.fleet.Record(history.Event{Kind: history.JobAccepted, Job: id})
	w.recordTime(&w.AcceptTimes, from)
	if w.randomInt(1000) < int(w.CancelRate*1000) {
		time.Sleep(time.Duration(w.randomInt(2000)) * time.Millisecond)
		for range 20 {
			code, b := w.request(http.MethodPost, "/v1/jobs/"+string(id)+"/cancel", nil)
			if code == 200 || code == 202 {
				w.fleet.Record(history.Event{Kind: history.CancelAccepted, Job: id})
				break
			}
			if !w.waitToRetry(code, b) {
				break
			}
		}
	}
	for w.fleet.ctx.Err() == nil {
		time.Sleep(150*time.Millisecond + time.Duration(w.randomInt(150))*time.Millisecond)
		code, b := w.request(http.MethodGet, "/v1/jobs/"+string(id), nil)
		var v controller.JobView
		switch {
		case code == 404:
			w.fleet.Record(history.Event{Kind: history.JobNotFound, Job: id})
			return
		case code != 200 || json.Unmarshal(b, &v) != nil:
			w.waitToRetry(code, b)
			continue
		}
		if v.State == "done" || v.State == "failed" || v.State == "cancelled" {
			w.fleet.Record(history.Event{Kind: history.JobObserved, Job: id, Stage: v.State, Text: v.Reason})
			if v.State == "done" {
				w.recordTime(&w.DoneTimes, from)
			}
			return
		}
	}
}

// waitToRetry waits as an answer says, and tells whether to ask again at all.
func (w *Workload) waitToRetry(code int, b []byte) bool {
	var f apierror.Error
	if code == 0 {
		time.Sleep(100 * time.Millisecond)
		return true
	}
	json.Unmarshal(b, &f)
	w.mu.Lock()
	w.Refusals[f.Kind]++
	w.mu.Unlock()
	if code != 503 && code != 429 {
		return false
	}
	time.Sleep(time.Duration(max(f.RetryAfterSeconds, 1)) * time.Second)
	return true
}

func (w *Workload) recordTime(to *[]float64, from time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*to = append(*to, float64(time.Since(from).Microseconds())/1000)
}

// PutTable puts a table until it is taken or refused; it gives the version.
func (w *Workload) PutTable(t config.Table) (types.Version, error) {
	w.fleet.Record(history.Event{Kind: history.TableSubmitted, Table: &t})
	for range 60 {
		code, b := w.request(http.MethodPut, "/v1/table", wire.EncodeBody(t))
		if code == 200 {
			got := t.Accepted()
			w.fleet.Record(history.Event{Kind: history.TableAcknowledged, Table: &got})
			return got.Version, nil
		}
		if !w.waitToRetry(code, b) {
			w.fleet.Record(history.Event{Kind: history.TableRefused, Table: &t, Text: string(b)})
			return 0, fmt.Errorf("table refused: %s", b)
		}
	}
	return 0, errors.New("the table was never taken")
}

// RunRacingOperators has two operators put different tables on one version, now and then.
func (w *Workload) RunRacingOperators() {
	w.pending.Add(1)
	defer w.pending.Done()
	for w.open.Load() {
		time.Sleep(3 * time.Second)
		var t config.Table
		began := strconv.FormatInt(time.Since(w.fleet.start).Nanoseconds(), 10)
		code, b := w.request(http.MethodGet, "/v1/table", nil)
		if code != 200 || json.Unmarshal(b, &t) != nil || len(t.Queues) < 2 {
			continue
		}
		w.fleet.Record(history.Event{Kind: history.TableRead, Table: &t, Text: began})
		var two sync.WaitGroup
		for range 2 {
			n := config.Table{Version: t.Version, Queues: append([]config.Queue(nil), t.Queues...)}
			n.Queues[0].Weight = 1 + w.randomInt(900)
			two.Add(1)
			go func() { defer two.Done(); w.PutTable(n) }()
		}
		two.Wait()
	}
}

// Close sends no more jobs and waits for those under way to be seen ended.
func (w *Workload) Close(limit time.Duration) bool {
	w.open.Store(false)
	done := make(chan struct{})
	go func() { w.pending.Wait(); close(done) }()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}
