// Command hemlockctl drives a deployment for its operators.
package main

func main() {}
