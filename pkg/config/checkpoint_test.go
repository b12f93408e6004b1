package config

import (
	"testing"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// Guards against changes that are kept for good because a row of another writer, whose key holds no version, comes before them.
func TestUnreadableKeysDoNotStopPruning(t *testing.T) {
	is := is.New(t)
	rows := []store.Row{{Key: changePrefix + "!"}, {Key: changeKey(1)}, {Key: changeKey(2)}, {Key: changeKey(3)}}
	var deleted []string
	for _, write := range pruneTxn(rows, 2).Writes {
		is.True(write.Delete)
		deleted = append(deleted, write.Key)
	}
	is.Equal(len(pruneTxn(rows, 0).Writes), 0)
	is.Equal(deleted, []string{changeKey(1), requestKey(""), changeKey(2), requestKey("")})
}
