package verb

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/urfave/cli/v3"

	"gitlab.com/comfreythread/comfreythread/pkg/operator"
)

type (
	// difference describes one row that differs. From or To is empty if the row
	// is missing on that side.
	difference struct {
		Row  string `json:"row"`
		From string `json:"from,omitempty"`
		To   string `json:"to,omitempty"`
	}
)

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:        "diff",
		Usage:       "compare a file with the tables in force",
		Description: "Example: comfreythread diff --tables tables.json\n\nThe exit code is 6 where there are differences.",
		Flags: []cli.Flag{
			tablesFlag(),
			&cli.Uint64Flag{Name: "version", Usage: "version to compare with; 0 for the newest"},
			addressFlag(), outputFlag(),
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			tables, err := loadTables(command.String("tables"))
			if err != nil {
				return err
			}
			versioned, err := getTables(ctx, command, command.Uint64("version"))
			if err != nil {
				return err
			}
			differences := compareTables(&versioned.Tables, tables)
			err = writeOutput(command, differences, func(writer io.Writer) {
				_, _ = fmt.Fprintf(writer, "compared with version %d by change %q: %d difference(s)\n", versioned.Version, versioned.ChangeID, len(differences))
				for _, difference := range differences {
					printDifference(writer, difference)
				}
			})
			if err == nil && len(differences) > 0 {
				return errDifferent
			}
			return err
		},
	}
}

func printDifference(writer io.Writer, difference difference) {
	if difference.From != "" {
		_, _ = fmt.Fprintf(writer, "- %s %s\n", difference.Row, difference.From)
	}
	if difference.To != "" {
		_, _ = fmt.Fprintf(writer, "+ %s %s\n", difference.Row, difference.To)
	}
}

func compareTables(from, to *operator.Tables) []difference {
	differences := []difference{}
	if !slices.Equal(from.FailureDomainsOut, to.FailureDomainsOut) {
		differences = append(differences, difference{Row: "failure_domains_out", From: encodeJSON(from.FailureDomainsOut), To: encodeJSON(to.FailureDomainsOut)})
	}
	if from.RequireKeys != to.RequireKeys {
		differences = append(differences, difference{Row: "require_keys", From: encodeJSON(from.RequireKeys), To: encodeJSON(to.RequireKeys)})
	}
	differences = append(differences, compareRows("pool", from.Pools, to.Pools, func(pool operator.Pool) string { return pool.Name })...)
	differences = append(differences, compareRows("tenant", from.Tenants, to.Tenants, func(tenant operator.Tenant) string { return tenant.Name })...)
	return append(differences, compareRows("route", from.Routes, to.Routes, func(route operator.Route) string { return route.Kind })...)
}

// compareRows returns the rows whose JSON differs: first those that were added or changed, then those that
// were removed. The key identifies a row of the table.
func compareRows[Row any](table string, from, to []Row, key func(Row) string) []difference {
	var differences []difference
	unmatched := map[string]Row{}
	for _, row := range from {
		unmatched[key(row)] = row
	}
	for _, row := range to {
		fromRow, found := unmatched[key(row)]
		delete(unmatched, key(row))
		if found && encodeJSON(fromRow) == encodeJSON(row) {
			continue
		}
		changedRow := difference{Row: table + " " + key(row), To: encodeJSON(row)}
		if found {
			changedRow.From = encodeJSON(fromRow)
		}
		differences = append(differences, changedRow)
	}
	for _, row := range from {
		if _, removed := unmatched[key(row)]; removed {
			differences = append(differences, difference{Row: table + " " + key(row), From: encodeJSON(row)})
		}
	}
	return differences
}

func encodeJSON(value any) string {
	encoded, _ := json.Marshal(value)
	return string(encoded)
}
