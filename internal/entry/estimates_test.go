package entry

import (
	"encoding/json"
	"testing"

	"gitlab.com/comfreythread/comfreythread/internal/target"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

func TestDisabledHedgesAndRetries(t *testing.T) {
	for _, row := range []struct {
		pool            string
		hedges, retries bool
	}{
		{`{"name":"desk"}`, true, true},
		{`{"name":"desk","disable_hedges":true}`, false, true},
		{`{"name":"desk","disable_retries":true}`, true, false},
		{`{"name":"desk","hedge_percent":50,"disable_hedges":true,"disable_retries":true}`, false, false},
	} {
		var pool operator.Pool
		if err := json.Unmarshal([]byte(row.pool), &pool); err != nil {
			t.Fatal(err)
		}
		var estimates Estimates
		if hedged := estimates.spend(&pool, target.Hedge); hedged != row.hedges {
			t.Errorf("%s: hedge allowed: %v, want the opposite", row.pool, hedged)
		}
		if retried := estimates.spend(&pool, target.Retry); retried != row.retries {
			t.Errorf("%s: retry allowed: %v, want the opposite", row.pool, retried)
		}
		if !estimates.spend(&pool, target.First) {
			t.Errorf("%s: first attempt refused, want it allowed", row.pool)
		}
	}
}
