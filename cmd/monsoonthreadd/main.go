// Command monsoonthreadd is the entry instance daemon.
package main

func main() {}
