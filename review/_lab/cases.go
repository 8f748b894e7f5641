package main

func init() {
	cases["burst"] = burst
	cases["memory"] = memory
	cases["pipe"] = pipe
	cases["stuck"] = stuck
	cases["zones"] = zones
}
