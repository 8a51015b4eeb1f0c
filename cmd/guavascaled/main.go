// Command guavascaled is a program of guavascale.
package main

func main() {}
