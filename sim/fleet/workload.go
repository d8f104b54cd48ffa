package fleet

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/controller"
	"coppercourse/internal/server"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
	"coppercourse/sim/deployment"
	"coppercourse/sim/history"
)

const (
	callerIP          = "127.0.9.1"
	requestTimeout    = 4 * time.Second
	maxInFlightJobs   = 3000 // jobs that clients track concurrently; submissions beyond the limit are skipped
	cancelFraction    = 0.04 // fraction of jobs that are cancelled
	readinessInterval = 100 * time.Millisecond
	retryDelay        = 100 * time.Millisecond // after a request without a response
	conflictInterval  = 3 * time.Second        // between two rounds of conflicting table changes

	maxSubmitAttempts   = 60
	maxCancelAttempts   = 20
	maxPutTableAttempts = 60
)

// Workload is the set of clients and operators of a fleet. Each request opens a new connection to a
// gateway that reports itself as ready, unless KeepConnections was called. A request without a
// response is retried, and so is one that is rejected with status 429 or 503, after the time given
// in the response.
type Workload struct {
	AcceptLatencies     []float64 // ms from submission to acceptance
	CompletionLatencies []float64 // ms from submission until a client observes that the job is done
	Rejections          map[apierror.Kind]int
	Dropped             atomic.Int64 // requests that a running gateway received without responding

	fleet      *Fleet
	rateFactor float64 // multiplier of the deployment's submission rates
	client     *http.Client
	callers    []caller // with connections that stay open; none if each request opens a new one
	active     atomic.Bool
	ready      atomic.Pointer[[]*process] // ready gateways
	pending    sync.WaitGroup             // flows, jobs and operators
	slots      chan struct{}              // semaphore of the jobs in flight

	mu      sync.Mutex // guards the fields below, the latency lists and Rejections
	random  *rand.Rand
	lastJob int
}

// NewWorkload returns a workload that does not send requests yet.
func NewWorkload(f *Fleet, seed int64, speed float64) *Workload {
	client := server.NewClient(callerIP, requestTimeout)
	if transport, ok := client.Transport.(*http.Transport); ok {
		transport.DisableKeepAlives = true
	}
	w := &Workload{
		Rejections: map[apierror.Kind]int{},
		fleet:      f,
		rateFactor: speed,
		client:     client,
		slots:      make(chan struct{}, maxInFlightJobs),
		random:     rand.New(rand.NewSource(seed)),
	}
	gateways := f.withRole(gatewayRole)
	w.ready.Store(&gateways)
	w.active.Store(true)
	return w
}

// WatchReadiness keeps the list of ready gateways up to date until the fleet stops, as the platform
// does.
func (w *Workload) WatchReadiness() {
	for w.fleet.ctx.Err() == nil {
		var ready []*process
		for _, p := range w.fleet.withRole(gatewayRole) {
			if p.isRunning() && w.fleet.isReady(p) {
				ready = append(ready, p)
			}
		}
		if len(ready) > 0 {
			w.ready.Store(&ready)
		}
		time.Sleep(readinessInterval)
	}
}

func (w *Workload) randomInt(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Intn(n)
}

func (w *Workload) randomMillis(n int) time.Duration {
	return time.Duration(w.randomInt(n)) * time.Millisecond
}

func (w *Workload) readyGateway() *process {
	list := *w.ready.Load()
	return list[w.randomInt(len(list))]
}

// RunFlow submits the jobs of a flow until the workload is closed.
func (w *Workload) RunFlow(flow deployment.Flow) {
	w.pending.Add(1)
	defer w.pending.Done()
	meanInterval := float64(flow.MeanInterval) / w.rateFactor
	for w.active.Load() {
		time.Sleep(time.Duration((0.5 + float64(w.randomInt(1000))/1000) * meanInterval))
		id, spec := w.newJob(flow)
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

func (w *Workload) newJob(flow deployment.Flow) (types.JobID, state.Spec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastJob++
	return types.JobID(fmt.Sprintf("%s-%d", flow.Queue, w.lastJob)), flow.NewSpec(w.random)
}

// request sends a request to a gateway. The code is 0 if there is no response. A request counts as
// dropped if a running gateway closes the connection without a response. A gateway that is being
// restarted may close a connection that stayed open at the moment of a request.
func (w *Workload) request(method, path string, body []byte) (code int, response []byte) {
	gateway, from := w.nextGateway()
	url := "http://" + w.fleet.listenAddress(gateway) + path
	req, err := http.NewRequestWithContext(w.fleet.ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	code, response, err = w.send(req)
	if err == nil {
		return code, response
	}
	mayClose := false
	if from != nil {
		from.gateway.Store(nil)
		mayClose = gateway.restarting.Load()
	}
	if (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)) && gateway.isRunning() && !mayClose {
		w.Dropped.Add(1)
		w.fleet.Record(history.Event{Kind: history.RequestDropped, Process: gateway.name, Text: err.Error()})
	}
	return 0, nil
}

func (w *Workload) send(req *http.Request) (code int, body []byte, err error) {
	res, err := w.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	body, err = io.ReadAll(res.Body)
	return res.StatusCode, body, err
}

// runJob submits a job, cancels it with probability cancelFraction, and polls its status until it ends.
func (w *Workload) runJob(id types.JobID, body []byte) {
	submittedAt := time.Now()
	if !w.submit(id, body) {
		return
	}
	w.recordLatency(&w.AcceptLatencies, submittedAt)
	if w.randomInt(1000) < int(cancelFraction*1000) {
		time.Sleep(w.randomMillis(2000))
		w.cancel(id)
	}
	for w.fleet.ctx.Err() == nil {
		time.Sleep(150*time.Millisecond + w.randomMillis(150))
		status, ended := w.observe(id)
		if !ended {
			continue
		}
		if status == state.JobDone {
			w.recordLatency(&w.CompletionLatencies, submittedAt)
		}
		return
	}
}

// submit submits a job, with retries, until it is accepted or finally rejected.
func (w *Workload) submit(id types.JobID, body []byte) (accepted bool) {
	for n := 0; ; n++ {
		code, response := w.request(http.MethodPut, jobPath(id), body)
		if code == http.StatusOK || code == http.StatusCreated {
			w.fleet.Record(history.Event{Kind: history.JobAccepted, Job: id})
			return true
		}
		if n > maxSubmitAttempts || w.fleet.ctx.Err() != nil || !w.waitToRetry(code, response) {
			w.fleet.Record(history.Event{Kind: history.JobRejected, Job: id, Text: string(response)})
			return false
		}
	}
}

func jobPath(id types.JobID) string { return "/v1/jobs/" + string(id) }

func (w *Workload) cancel(id types.JobID) {
	for range maxCancelAttempts {
		code, response := w.request(http.MethodPost, jobPath(id)+"/cancel", nil)
		if code == http.StatusOK || code == http.StatusAccepted {
			w.fleet.Record(history.Event{Kind: history.CancelAccepted, Job: id})
			return
		}
		if !w.waitToRetry(code, response) {
			return
		}
	}
}

// observe requests a job's status and reports whether the job has ended or does not exist.
func (w *Workload) observe(id types.JobID) (status state.JobStatus, ended bool) {
	code, response := w.request(http.MethodGet, jobPath(id), nil)
	if code == http.StatusNotFound {
		w.fleet.Record(history.Event{Kind: history.JobNotFound, Job: id})
		return "", true
	}
	var view controller.JobView
	if code != http.StatusOK || json.Unmarshal(response, &view) != nil {
		w.waitToRetry(code, response)
		return "", false
	}
	switch view.State {
	case state.JobDone, state.JobFailed, state.JobCancelled:
		w.fleet.Record(history.Event{Kind: history.JobObserved, Job: id, Status: view.State, Text: view.Reason})
		return view.State, true
	}
	return view.State, false
}

// waitToRetry waits for the time given in a response and reports whether to retry the request.
func (w *Workload) waitToRetry(code int, response []byte) bool {
	if code == 0 {
		time.Sleep(retryDelay)
		return true
	}
	var rejection apierror.Error
	if json.Unmarshal(response, &rejection) != nil {
		rejection = apierror.Error{}
	}
	w.mu.Lock()
	w.Rejections[rejection.Kind]++
	w.mu.Unlock()
	if code != http.StatusServiceUnavailable && code != http.StatusTooManyRequests {
		return false
	}
	time.Sleep(time.Duration(max(rejection.RetryAfterSeconds, 1)) * time.Second)
	return true
}

// recordLatency appends the time elapsed since the given time to a list.
func (w *Workload) recordLatency(list *[]float64, since time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*list = append(*list, float64(time.Since(since).Microseconds())/1000)
}

// PutTable submits a table, with retries, until it is acknowledged or rejected, and returns its version.
func (w *Workload) PutTable(table config.Table) (types.Version, error) {
	w.fleet.Record(history.Event{Kind: history.TableSubmitted, Table: &table})
	for range maxPutTableAttempts {
		code, response := w.request(http.MethodPut, "/v1/table", wire.EncodeBody(table))
		if code == http.StatusOK {
			accepted := table.Accepted()
			w.fleet.Record(history.Event{Kind: history.TableAcknowledged, Table: &accepted})
			return accepted.Version, nil
		}
		if !w.waitToRetry(code, response) {
			w.fleet.Record(history.Event{Kind: history.TableRejected, Table: &table, Text: string(response)})
			return 0, fmt.Errorf("table rejected: %s", response)
		}
	}
	return 0, errors.New("the table was not accepted within the maximum number of attempts")
}

// RunConflictingOperators periodically submits two different tables based on the same version at
// once, until the workload is closed.
func (w *Workload) RunConflictingOperators() {
	w.pending.Add(1)
	defer w.pending.Done()
	for w.active.Load() {
		time.Sleep(conflictInterval)
		table, ok := w.readTable()
		if !ok || len(table.Queues) < 2 {
			continue
		}
		var both sync.WaitGroup
		for range 2 {
			changed := config.Table{Version: table.Version, Queues: slices.Clone(table.Queues)}
			changed.Queues[0].Weight = 1 + w.randomInt(900)
			both.Add(1)
			go func() {
				defer both.Done()
				w.PutTable(changed) // one of the two is rejected; the checker verifies which
			}()
		}
		both.Wait()
	}
}

// readTable reads the current table.
func (w *Workload) readTable() (table config.Table, ok bool) {
	startedAt := strconv.FormatInt(time.Since(w.fleet.startedAt).Nanoseconds(), 10)
	code, response := w.request(http.MethodGet, "/v1/table", nil)
	if code != http.StatusOK || json.Unmarshal(response, &table) != nil {
		return table, false
	}
	w.fleet.Record(history.Event{Kind: history.TableRead, Table: &table, Text: startedAt})
	return table, true
}

// Close stops submissions and waits until the submitted jobs have ended. It returns false on timeout.
func (w *Workload) Close(timeout time.Duration) bool {
	w.active.Store(false)
	done := make(chan struct{})
	go func() { w.pending.Wait(); close(done) }()
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}
