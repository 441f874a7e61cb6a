package verb

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

// Guards against a digest of something else than the key that callers send, such as the key with a line end.
func TestKeyDigestIsThatOfTheKey(t *testing.T) {
	for _, row := range [][2]string{
		{"secret", "secret"}, {"secret\n", "secret"}, {"secret\r\n", "secret"}, {"", ""}, {"\n", ""}, {" secret", ""}, {"two\nlines", ""}, {strings.Repeat("x", maximumKeyBytes+1), ""},
	} {
		input, key := row[0], row[1]
		var output bytes.Buffer
		root := newRoot(&output, &output)
		root.Reader = strings.NewReader(input)
		err := root.Run(context.Background(), []string{"comfreythread", "key-digest"})
		if key == "" && exitCode(err) != ExitUsage {
			t.Errorf("%.20q: error %v, expected one of usage", input, err)
		}
		if key != "" && (err != nil || output.String() != operator.KeyDigest(key)+"\n") {
			t.Errorf("%.20q: error %v, output %q", input, err, output.String())
		}
	}
}
