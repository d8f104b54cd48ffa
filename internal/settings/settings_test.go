package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"coppercourse/internal/apierror"
	"coppercourse/internal/membership"
)

func TestDefaultsAreValid(t *testing.T) {
	for _, test := range []struct {
		role       membership.Role
		roleFields string
	}{
		{membership.RoleController, `,"data":"d"`},
		{membership.RoleGateway, ``},
		{membership.RoleAgent, `,"shard":"k1"`},
	} {
		t.Run(string(test.role), func(t *testing.T) {
			is := is.New(t)
			s, errs := Defaults(), &apierror.ErrorList{}
			Read([]byte(`{"locality":"z1","seeds":["127.0.0.1:1"]`+test.roleFields+`}`), &s, errs)
			s.Validate(test.role, errs)
			is.NoErr(errs.Err())
			is.Equal(s.Address, s.Listen)
		})
	}
}

func TestAllErrorsAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	s, errs := Defaults(), &apierror.ErrorList{}
	Read([]byte(`{"listen":"here","colour":1,"seeds":["1.2.3.4"],"shard":"k",`+
		`"pace":{"grant_ms":2400,"beat_ms":"x","ill_ms":100}}`), &s, errs)
	s.Validate(membership.RoleGateway, errs)
	text := errs.Err().Error()
	for _, field := range []string{
		"colour", "pace.beat_ms", "listen", "seeds[0]", "locality", "shard", "pace.grant_ms", "pace.ill_ms",
	} {
		is.True(strings.Contains(text, ": "+field+": "))
	}
}
