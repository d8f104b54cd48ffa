package controller

import (
	"time"

	"golang.org/x/time/rate"

	"coppercourse/internal/apierror"
	"coppercourse/internal/state"
	"coppercourse/internal/types"
)

const (
	// tenantBurstWindow is for how long a tenant may submit at twice its rate after a pause.
	tenantBurstWindow = 2 * time.Second
	// overRateBacklogWindow is for how long a tenant's rate may be exceeded, in jobs that have not
	// ended, before what exceeds it is rejected.
	overRateBacklogWindow = 2 * time.Second
	// minTenantBurst is the least burst, and the least backlog, in jobs.
	minTenantBurst = 2
)

// tenantRates tells the jobs that a tenant submits within its rate, its weight in jobs a
// second, from those beyond it. The latter run only where nothing else would, and only so many
// may wait. It has one token bucket for each tenant of the table, none for any other name.
type tenantRates struct {
	limiters map[types.TenantName]*rate.Limiter
	version  types.Version // of the table that the limiters are made for
	// inFlight are the jobs in the log that are not applied yet, and whether they are over
	// their tenant's rate. A copy of one takes no token, and is not rejected.
	inFlight map[types.JobID]bool
}

func newTenantRates() *tenantRates {
	return &tenantRates{limiters: map[types.TenantName]*rate.Limiter{}, inFlight: map[types.JobID]bool{}}
}

// admitSubmission is admit for a submission, whose OverRate it sets.
func (t *tenantRates) admitSubmission(now types.MonoTime, s *state.State, to *state.Submission) *apierror.Error {
	if overRate, isCopy := t.inFlight[to.ID]; isCopy {
		to.OverRate = overRate
		return nil
	}
	overRate, err := t.admit(now, s, to.Spec.Tenant)
	to.OverRate = overRate
	return err
}

// proposed notes that a submission is in the log.
func (t *tenantRates) proposed(submission *state.Submission) {
	if submission.Spec.Tenant != "" {
		t.inFlight[submission.ID] = submission.OverRate
	}
}

// applied notes that a submission is applied.
func (t *tenantRates) applied(submission *state.Submission) { delete(t.inFlight, submission.ID) }

// abandon forgets what is in flight, as a leader that has stepped down does.
func (t *tenantRates) abandon() { clear(t.inFlight) }

// admit takes a token for a new job of a tenant. It returns whether the job is over the
// tenant's rate, or why it is rejected. Jobs without a tenant have no
// rate, nor have those of one without a weight or that the table has no more.
func (t *tenantRates) admit(now types.MonoTime, s *state.State, name types.TenantName) (bool, *apierror.Error) {
	t.update(now, s)
	limiter := t.limiters[name]
	if limiter == nil || limiter.AllowN(bucketTime(now), 1) {
		return false, nil
	}
	backlog := burstOf(float64(limiter.Limit()), overRateBacklogWindow)
	if s.UnfinishedOverRate(name) < backlog {
		return true, nil
	}
	const reason = "the tenant submits more jobs a second than its weight allows"
	rejection := apierror.New(apierror.TenantOverRate, "", reason)
	return false, rejection.WithRetryAfter(timeUntilToken(limiter, now))
}

// update brings the buckets up to date with the table. A tenant whose weight has changed keeps
// what is in its bucket.
func (t *tenantRates) update(now types.MonoTime, s *state.State) {
	if t.version == s.Table.Version {
		return
	}
	t.version = s.Table.Version
	limiters := map[types.TenantName]*rate.Limiter{}
	for _, tenant := range s.Table.Tenants {
		if tenant.Weight == 0 {
			continue
		}
		burst := burstOf(tenant.Weight, tenantBurstWindow)
		limiter := t.limiters[tenant.Name]
		if limiter == nil {
			limiter = rate.NewLimiter(rate.Limit(tenant.Weight), burst)
		}
		limiter.SetLimitAt(bucketTime(now), rate.Limit(tenant.Weight))
		limiter.SetBurstAt(bucketTime(now), burst)
		limiters[tenant.Name] = limiter
	}
	t.limiters = limiters
}

// burstOf returns how many jobs a rate allows in a time, minTenantBurst at least.
func burstOf(jobsPerSecond float64, duration time.Duration) int {
	return max(minTenantBurst, int(jobsPerSecond*duration.Seconds()))
}

// maxTokenWait bounds the Retry-After of a tenant whose rate is close to 0.
const maxTokenWait = 10 * time.Second

// timeUntilToken returns how long it takes until a bucket has a token.
func timeUntilToken(limiter *rate.Limiter, now types.MonoTime) time.Duration {
	missing := 1 - limiter.TokensAt(bucketTime(now))
	if perSecond := float64(limiter.Limit()); perSecond*maxTokenWait.Seconds() > missing {
		return time.Duration(missing / perSecond * float64(time.Second))
	}
	return maxTokenWait
}

// bucketTime returns a monotonic time in the form that token buckets take.
func bucketTime(now types.MonoTime) time.Time { return time.Unix(0, int64(now)) }
