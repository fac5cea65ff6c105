// Command monsoonctl is the operators' tool.
package main

func main() {}
