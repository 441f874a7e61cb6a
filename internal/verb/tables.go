// This file exists so that the verbs for tables read them in one way.

package verb

import (
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"gitlab.com/comfreythread/comfreythread/internal/web"
	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

func tablesFlag() cli.Flag {
	return &cli.StringFlag{Name: "tables", Required: true, Usage: "file with the two tables, in JSON"}
}

func loadTables(path string) (*operator.Tables, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read tables; name an existing file with --tables")
	}
	defer func() { _ = file.Close() }()
	tables := new(operator.Tables)
	if err := web.DecodeStrict(file, tables); err != nil {
		return nil, err
	}
	return tables, tables.Check()
}
