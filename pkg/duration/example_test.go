package duration_test

import (
	"encoding/json"
	"fmt"
	"time"

	"gitlab.com/comfreythread/comfreythread/pkg/duration"
)

func ExampleDuration() {
	var timeout duration.Duration
	_ = json.Unmarshal([]byte(`"250ms"`), &timeout)
	fmt.Println(timeout.Std() == 250*time.Millisecond)
	fmt.Println(json.Unmarshal([]byte(`250`), &timeout))
	// Output:
	// true
	// a duration is text with a unit; write it like "250ms" or "5s"
}
