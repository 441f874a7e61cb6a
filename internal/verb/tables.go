package verb

import (
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"gitlab.com/comfreythread/comfreythread/internal/document"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

func tablesFlag() cli.Flag {
	return &cli.StringFlag{Name: "tables", Required: true, Usage: "file with the two tables, in JSON"}
}

// loadTables reads and checks a file with the two tables.
func loadTables(path string) (*operator.Tables, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read tables; name an existing file with --tables")
	}
	tables := new(operator.Tables)
	if err := document.DecodeAndCheck(data, tables); err != nil {
		return nil, err
	}
	return tables, nil
}
