package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"coppercourse/internal/types"
)

// Roles of processes.
const (
	controllerRole = "controller"
	gatewayRole    = "gateway"
	agentRole      = "agent"
	workerRole     = "worker"
)

// process is one process of a fleet. It keeps its name and address over restarts.
type process struct {
	name        string // role and number, such as gateway1
	role        string
	zone        types.Zone
	ip          string // address on which it listens and from which it connects
	address     string // advertised address, which is that of its relay; empty for workers
	program     string
	args        []string
	incarnation int // number of starts
	cmd         *exec.Cmd
	exited      chan struct{} // closed when the process has exited
	down        atomic.Bool   // set while the process is killed
	paused      atomic.Bool
	restarting  atomic.Bool // from the signal until it has been started again
	affected    atomic.Bool // by a fault that signals it; see claim
}

// number returns the number in the process's name.
func (p *process) number() string { return strings.TrimPrefix(p.name, p.role) }

// incarnationID returns an ID that is unique to the current incarnation of the process.
func (p *process) incarnationID() string { return fmt.Sprintf("%s.%d", p.name, p.incarnation) }

// shard returns the shard of a worker.
func (p *process) shard() types.Shard { return types.Shard("k" + p.number()) }

// isRunning reports whether the process is neither killed nor paused.
func (p *process) isRunning() bool { return !p.down.Load() && !p.paused.Load() }

func (p *process) historyPath(dir string) string { return filepath.Join(dir, p.name+".history") }

func (p *process) dataPath(dir string) string { return filepath.Join(dir, p.name+".data") }

// launch starts the process. Its output is appended to a log file in dir.
func (p *process) launch(dir string) error {
	p.incarnation++
	log, err := os.OpenFile(filepath.Join(dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	args := p.args
	if p.role == workerRole {
		args = append(args[:len(args):len(args)], "--id", p.incarnationID(), "--history", p.historyPath(dir))
	}
	cmd := exec.Command(p.program, args...)
	cmd.Stderr, cmd.Stdout = log, log
	p.down.Store(false)
	p.paused.Store(false)
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		cmd.Wait()
		close(exited)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Signal(s)
	}
}

// Indices of fields in /proc/PID/stat, counted after the command name, and the unit of its CPU times.
const (
	statUserTime     = 11
	statSystemTime   = 12
	statResidentSize = 21 // in pages
	statFields       = 22
	clockTick        = 10 * time.Millisecond
)

// usage returns the CPU time and the resident memory in bytes of the process, from the kernel's
// accounting.
func (p *process) usage() (cpu time.Duration, memory int, err error) {
	path := fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid)
	b, err := os.ReadFile(path)
	if err != nil {
		return 0, 0, err
	}
	_, afterName, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(afterName)
	if len(fields) < statFields {
		return 0, 0, fmt.Errorf("%s has %d fields", path, len(fields))
	}
	for _, i := range []int{statUserTime, statSystemTime} {
		ticks, err := strconv.Atoi(fields[i])
		if err != nil {
			return 0, 0, fmt.Errorf("%s: %w", path, err)
		}
		cpu += time.Duration(ticks) * clockTick
	}
	pages, err := strconv.Atoi(fields[statResidentSize])
	if err != nil {
		return 0, 0, fmt.Errorf("%s: %w", path, err)
	}
	return cpu, pages * os.Getpagesize(), nil
}
