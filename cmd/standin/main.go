// Command standin runs the stand-ins for the systems around mangokeel: fabric,
// target and caller. They serve demonstrations and tests on loopback.
package main

func main() {}
