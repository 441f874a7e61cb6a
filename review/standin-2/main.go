// Stand-ins and cases of the second review. Usage: review-2 CASE RECORD, in the root of the repository. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.

package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

const (
	// maximumRun is the time after which a case is given up.
	maximumRun = 115 * time.Second
)

type (
	// verdict is the result of a case.
	verdict struct {
		broken bool
		text   string
	}
)

var (
	cases = map[string]func(trouble bool) verdict{}
)

func init() {
	// The processes that a case starts end with the thread that started them.
	runtime.LockOSThread()
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(trouble bool) verdict, path string) (code int) {
	record.open(path)
	defer func() {
		if recovered := recover(); recovered != nil {
			reason, expected := recovered.(cannotRun)
			if !expected {
				panic(recovered)
			}
			record.line("could not run: %s", string(reason))
			fmt.Println("could not run:", string(reason))
			code = 2
		}
	}()
	time.AfterFunc(maximumRun, func() {
		record.line("could not run: it took too long")
		fmt.Println("could not run: it took too long")
		os.Exit(2)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	record.line("disruption: %t", trouble)
	result := play(trouble)
	record.line("%s", result.text)
	fmt.Println(result.text)
	if result.broken {
		return 1
	}
	return 0
}
