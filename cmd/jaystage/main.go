// Command jaystage runs a node of the serving system and the operators' client.
package main

func main() {}
