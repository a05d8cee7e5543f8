package reporter

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/account/rationer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/dispatcher"
)

// Guards against metrics whose number grows with that of the accounts.
func TestMetricsOfAccountsAreBounded(t *testing.T) {
	Convey("Accounts beyond the limit are summed", t, func() {
		r := New("n-1", "z", &bytes.Buffer{})
		defer r.Close()
		for i := range 10_000 {
			e := dispatcher.Event{Account: fmt.Sprintf("account-%d", i), Status: 200, Result: carrier.Result{Outcome: carrier.Run}, Attempts: make([]dispatcher.Attempt, 1)}
			r.Ended(e)
			e.Result, e.Status = carrier.Refuse(carrier.OverQuota), 429
			r.Ended(e)
		}
		r.Ended(dispatcher.Event{Result: carrier.Refuse(carrier.KeyMissing), Status: 401})
		r.Tokens(rationer.Stats{Asked: 1, Granted: 2, Expired: 3, Returned: 4})
		recorder := httptest.NewRecorder()
		r.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
		text := recorder.Body.String()
		So(strings.Count(text, "tamarackscale_account_call_seconds_count{"), ShouldEqual, maxAccountNames+1)
		So(strings.Count(text, "tamarackscale_account_refusals_total{"), ShouldEqual, maxAccountNames+2)
		So(text, ShouldContainSubstring, fmt.Sprintf(`account_call_seconds_count{account="other"} %d`, 10_000-maxAccountNames))
		So(text, ShouldContainSubstring, `account_refusals_total{account="",reason="keyMissing"} 1`)
		So(text, ShouldContainSubstring, `quota_tokens_total{event="returned"} 4`)
	})
}
