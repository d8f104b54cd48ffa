// Settings: every fault is told at once, by field; defaults hang together.
package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
)

func TestDefaultsAreValid(t *testing.T) {
	is := is.New(t)
	for role, more := range map[string]string{"controller": `,"data":"d"`, "gateway": ``, "agent": `,"shard":"k1"`} {
		s, h := Defaults(), &apierror.ErrorList{}
		Read([]byte(`{"locality":"z1","seeds":["127.0.0.1:1"]`+more+`}`), &s, h)
		s.Validate(role, h)
		is.NoErr(h.Err())
		is.Equal(s.Address, s.Listen)
	}
}

func TestAllErrorsAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	s, h := Defaults(), &apierror.ErrorList{}
	Read([]byte(`{"listen":"here","colour":1,"seeds":["1.2.3.4"],"shard":"k","pace":{"grant_ms":2400,"beat_ms":"x","ill_ms":100}}`), &s, h)
	s.Validate("gateway", h)
	text := h.Err().Error()
	for _, f := range []string{"colour", "pace.beat_ms", "listen", "seeds[0]", "locality", "shard", "pace.grant_ms", "pace.ill_ms"} {
		is.True(strings.Contains(text, ": "+f+": "))
	}
}
