package usage

import (
	"cmp"
	"slices"
	"time"

	"github.com/buckthorntrack/buckthorntrack/units"
	"github.com/buckthorntrack/buckthorntrack/wire"
)

const (
	// maxPackedBytes bounds the counts in one message, which has to fit a datagram of 1,200 bytes with its other fields.
	maxPackedBytes = 900
	// windowBytes and countBytes bound the encoding of a window and of a count without the name of its account.
	windowBytes = 40
	countBytes  = 8
)

// Pack returns messages with the counts of windows, each of which fits a datagram. A window without counts is stated as well.
func Pack(windows []Statement) []wire.UsageMessage {
	var messages []wire.UsageMessage
	var current wire.UsageMessage
	used := 0
	flush := func() {
		if len(current.Windows) > 0 {
			messages = append(messages, current)
		}
		current, used = wire.UsageMessage{}, 0
	}
	for _, s := range windows {
		if used+windowBytes > maxPackedBytes {
			flush()
		}
		begin := func() {
			current.Windows = append(current.Windows, wire.UsageWindow{
				Window: int64(s.Window), AsOfUS: s.AsOf.UnixMicro(), Total: s.Total, Accounts: []string{}, Counts: []int64{},
			})
			used += windowBytes
		}
		begin()
		for _, account := range sortedAccounts(s.Counts) {
			if used+len(account)+countBytes > maxPackedBytes {
				flush()
				begin()
			}
			last := &current.Windows[len(current.Windows)-1]
			last.Accounts = append(last.Accounts, string(account))
			last.Counts = append(last.Counts, s.Counts[account])
			used += len(account) + countBytes
		}
	}
	flush()
	return messages
}

// Unpack returns the statements of a message about the counts of a source.
func Unpack(m *wire.UsageMessage, source Source) []Statement {
	statements := make([]Statement, 0, len(m.Windows))
	for i := range m.Windows {
		w := &m.Windows[i]
		counts := make(Counts, len(w.Accounts))
		for n, account := range w.Accounts {
			counts[units.TenantName(account)] = w.Counts[n]
		}
		statements = append(statements, Statement{
			Source: source, Window: Window(w.Window), AsOf: time.UnixMicro(w.AsOfUS), Total: w.Total, Counts: counts,
		})
	}
	return statements
}

func sortedAccounts(c Counts) []units.TenantName {
	accounts := make([]units.TenantName, 0, len(c))
	for account := range c {
		accounts = append(accounts, account)
	}
	slices.SortFunc(accounts, cmp.Compare)
	return accounts
}
