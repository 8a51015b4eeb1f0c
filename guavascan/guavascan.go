// Package guavascan reads all rows of a table with a prefix.
//
// Assumed failure: the table returns fewer rows per page than it is asked for, since it
// bounds a page by bytes or by a number of its own. A reader that takes a short page for the
// last one loses the end of a log, which then runs again.
package guavascan

import (
	"context"
	"time"

	"guavascale.example"
)

// Pages calls visit with each page of the rows with a prefix that sort after a key, in key
// order, until there is none left or visit fails. Each call has a timeout.
func Pages(ctx context.Context, t guavascale.Table, prefix, after string, limit int, timeout time.Duration, visit func([]guavascale.Row) error) error {
	for {
		page, err := scan(ctx, t, prefix, after, limit, timeout)
		if err != nil || len(page) == 0 {
			return err
		}
		if err := visit(page); err != nil {
			return err
		}
		after = page[len(page)-1].Key
	}
}

func scan(ctx context.Context, t guavascale.Table, prefix, after string, limit int, timeout time.Duration) ([]guavascale.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return t.Scan(ctx, prefix, after, limit)
}
