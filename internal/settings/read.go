package settings

import (
	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
)

// Limits of the values in a settings file.
const (
	maxMilliseconds = 3_600_000 // an hour
	maxLossesLimit  = 4
	maxAddresses    = 16 // in seeds or in founders
)

// Read reads a settings file into settings. Missing fields keep their values. Syntax and type
// errors are added to errs; Validate checks the values.
func Read(document []byte, s *Settings, errs *apierror.ErrorList) {
	r := config.NewReader(document, errs)
	r.ReadDocument(map[string]config.Field{
		"listen":    config.Text(r, &s.Listen, config.AnyText),
		"address":   config.Text(r, &s.Address, config.AnyText),
		"source":    config.Text(r, &s.Source, config.AnyText),
		"locality":  config.Text(r, &s.Zone, config.AnyText),
		"data":      config.Text(r, &s.Data, config.AnyText),
		"shard":     config.Text(r, &s.Shard, config.AnyText),
		"log":       config.Text(r, &s.Log, config.AnyText),
		"seeds":     addrList(r, &s.Seeds),
		"founders":  addrList(r, &s.Founders),
		"first":     config.Bool(r, &s.FirstCluster),
		"losses":    config.Int(r, &s.MaxLosses, 0, maxLossesLimit),
		"grace_ms":  millisecondsField(r, &s.Bounds.GraceMS),
		"notice_ms": millisecondsField(r, &s.Bounds.NoticeMS),
		"pace":      func(path string) { readTimeouts(r, path, &s.Timeouts) },
	})
}

// readTimeouts reads the timeouts in a settings file.
func readTimeouts(r *config.Reader, path string, t *Timeouts) {
	r.Object(path, map[string]config.Field{
		"beat_ms":     millisecondsField(r, &t.HeartbeatMS),
		"ill_ms":      millisecondsField(r, &t.UnhealthyMS),
		"loss_ms":     millisecondsField(r, &t.LostMS),
		"grant_ms":    millisecondsField(r, &t.LeaseMS),
		"worker_ms":   millisecondsField(r, &t.WorkerLeaseMS),
		"again_ms":    millisecondsField(r, &t.RetryMS),
		"round_ms":    millisecondsField(r, &t.RaftHeartbeatMS),
		"election_ms": millisecondsField(r, &t.ElectionMS),
		"stall_ms":    millisecondsField(r, &t.StallMS),
		"dead_ms":     millisecondsField(r, &t.ReplaceAfterMS),
		"stale_ms":    millisecondsField(r, &t.StaleAfterMS),
	})
}

func millisecondsField(r *config.Reader, value *int) config.Field {
	return config.Int(r, value, 1, maxMilliseconds)
}

// addrList reads a list of addresses. Validate checks their syntax.
func addrList(r *config.Reader, list *[]string) config.Field {
	return func(path string) {
		*list = nil
		r.Array(path, maxAddresses, func(path string, _ int) {
			var addr string
			config.Text(r, &addr, config.AnyText)(path)
			*list = append(*list, addr)
		})
	}
}
