// Package member tells slow, dead and partitioned nodes apart. It is
// deterministic: the present time is an argument and messages are values.
package member
