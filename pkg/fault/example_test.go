package fault_test

import (
	"fmt"

	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

func ExampleInvalidDocument() {
	err := fault.InvalidDocument("tables", []fault.Problem{
		{Path: "pools[0].slots", Message: "0 is out of range", Remedy: "use 1 to 1024"},
	})
	fmt.Println(err)
	// Output:
	// bad_request: tables has 1 problem(s); remedy: mend each listed problem and send it again
	//   pools[0].slots: 0 is out of range; remedy: use 1 to 1024
}
