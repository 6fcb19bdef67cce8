// Command hemlockvaled runs the entry and control roles.
package main

func main() {}
