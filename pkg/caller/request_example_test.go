package caller_test

import (
	"fmt"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
)

func ExampleRequestID_Expiry() {
	expiry, err := caller.RequestID("job-card-17.1893456000").Expiry()
	fmt.Println(expiry.UTC().Format(time.DateOnly), err)
	_, err = caller.RequestID("job-card-17").Expiry()
	fmt.Println(err)
	// Output:
	// 2030-01-01 <nil>
	// bad_request: request ID "job-card-17" has no expiry; remedy: write it as NAME.UNIXSECOND, such as order-17.1893456000
}

func ExampleRequest_Check() {
	request := caller.Request{
		ID: "job-card-17.1893456000", Kind: "bay-log.file", Timeout: duration.Of(time.Second), RunsPerShard: 2,
	}
	fmt.Println(request.Check())
	fmt.Println(request.AllowedRuns())
	// Output:
	// bad_request: request has 1 problem(s); remedy: mend each listed problem and send it again
	//   runs_per_shard: a request that isn't idempotent can't run twice; remedy: leave the field out, or set idempotent
	// 1
}
