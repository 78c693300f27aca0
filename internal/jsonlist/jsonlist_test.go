package jsonlist

import (
	"encoding/json"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against one element that cannot be decoded and hides all others.
func TestList(t *testing.T) {
	type item struct {
		Value []byte `json:"value"`
		Count int    `json:"count"`
	}
	convey.Convey("Elements that cannot be decoded are left out and reported", t, func() {
		var l List[item]
		err := json.Unmarshal([]byte(`[{"count":1},{"value":"?"},7,{"count":1e400},null,{"count":2,"value":"YQ=="}]`), &l)
		convey.So(err, convey.ShouldBeNil)
		convey.So(l.Items, convey.ShouldResemble, []item{{Count: 1}, {}, {Count: 2, Value: []byte("a")}})
		convey.So(l.Omitted, convey.ShouldHaveLength, 3)
	})
	convey.Convey("A value that is no list is an error, and an empty list is encoded as a list", t, func() {
		var l List[item]
		convey.So(json.Unmarshal([]byte(`{"a":1}`), &l), convey.ShouldNotBeNil)
		convey.So(json.Unmarshal([]byte(`null`), &l), convey.ShouldBeNil)
		data, err := json.Marshal(l)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(data), convey.ShouldEqual, "[]")
	})
}
