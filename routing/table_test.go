package routing

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestLongestPrefixOfHostMatches(t *testing.T) {
	table := NewTable(3, []Queue{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "A.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, Limits{})
	for _, c := range []struct{ host, path, want, rest string }{
		{"a.example", "/x/y/1", "long", "1"},
		{"a.example:80", "/x/1", "short", "1"},
		{"B.EXAMPLE", "/x/", "other", ""},
		{"b.example", "/z/1", "", ""},
		{"c.example", "/x/1", "", ""},
	} {
		q, rest, ok := table.Match(c.host, c.path)
		assert.Equal(t, ok, c.want != "", c.host+c.path)
		assert.Equal(t, q.Name, c.want)
		assert.Equal(t, rest, c.rest)
	}
}
