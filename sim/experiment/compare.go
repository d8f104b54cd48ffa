package experiment

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is the confidence level of the intervals.
const confidence = 0.95

// Difference is a mean of paired differences and the half-width of its confidence interval.
type Difference struct {
	Mean      float64 `json:"mean"`
	HalfWidth float64 `json:"half_width"` // infinite for a single pair
	Pairs     int     `json:"pairs"`
}

// IsClear reports whether the confidence interval excludes 0.
func (d Difference) IsClear() bool { return math.Abs(d.Mean) > d.HalfWidth }

// Comparison holds the benefit and the cost of one policy relative to the first policy of the plan.
type Comparison struct {
	Policy       string
	Deployment   string // empty for all deployments combined
	Mean         Measure
	Worth        Difference
	WorstWindows Difference
	Renewals     Difference
	Wasted       Difference
}

// Compare compares the results of each policy with those of the first, paired by deployment,
// scenario and seed. It returns the comparisons over all deployments first, then those of each
// deployment.
func (p *Plan) Compare(results []Result) []Comparison {
	var list []Comparison
	for _, name := range append([]string{""}, p.Deployments...) {
		base := selectResults(results, p.Policies[0].Name, name)
		for _, policyPlan := range p.Policies {
			list = append(list, compare(base, selectResults(results, policyPlan.Name, name), policyPlan.Name, name))
		}
	}
	return list
}

// selectResults returns the results of a policy on a deployment, in the order of the plan. An empty
// deployment name selects all deployments.
func selectResults(results []Result, policyName, deploymentName string) []Result {
	var list []Result
	for _, r := range results {
		if r.Policy == policyName && (deploymentName == "" || r.Deployment == deploymentName) {
			list = append(list, r)
		}
	}
	return list
}

// compare compares results with base, pairing them by index.
func compare(base, results []Result, policyName, deploymentName string) Comparison {
	difference := func(value func(Measure) float64) Difference {
		var differences []float64
		for i := range results {
			differences = append(differences, value(results[i].Measure)-value(base[i].Measure))
		}
		return meanDifference(differences)
	}
	return Comparison{
		Policy:       policyName,
		Deployment:   deploymentName,
		Mean:         meanMeasure(results),
		Worth:        difference(func(m Measure) float64 { return m.Worth }),
		WorstWindows: difference(func(m Measure) float64 { return m.WorstWindows }),
		Renewals:     difference(func(m Measure) float64 { return float64(m.Renewals) }),
		Wasted:       difference(func(m Measure) float64 { return m.WastedSeconds }),
	}
}

// meanDifference returns the mean of paired differences with its Student's t confidence interval.
func meanDifference(differences []float64) Difference {
	d := Difference{Mean: stat.Mean(differences, nil), HalfWidth: math.Inf(1), Pairs: len(differences)}
	if n := float64(len(differences)); n > 1 {
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(1 - (1-confidence)/2)
		d.HalfWidth = t * stat.StdDev(differences, nil) / math.Sqrt(n)
	}
	return d
}

// addLosses returns sum plus added scaled by factor.
func addLosses(sum, added []Loss, factor float64) []Loss {
	total := losses{}
	for _, loss := range sum {
		total[loss.Cause] += loss.Fraction
	}
	for _, loss := range added {
		total[loss.Cause] += factor * loss.Fraction
	}
	return total.sorted(1)
}

// meanMeasure returns the means of the worths, wasted core-seconds, attempts per job and losses, and the
// totals of the counts. It sets no timeline.
func meanMeasure(results []Result) Measure {
	var mean Measure
	n := float64(max(1, len(results)))
	for _, r := range results {
		m := r.Measure
		mean.Worth += m.Worth / n
		mean.Overall += m.Overall / n
		mean.WorstWindows += m.WorstWindows / n
		mean.WorstQueue += m.WorstQueue / n
		mean.WastedSeconds += m.WastedSeconds / n
		mean.AttemptsPerJob += m.AttemptsPerJob / n
		mean.Losses = addLosses(mean.Losses, m.Losses, 1/n)
		mean.Renewals += m.Renewals
		mean.Rejections += m.Rejections
		mean.Unresolved += m.Unresolved
		mean.Violations += m.Violations
	}
	return mean
}
