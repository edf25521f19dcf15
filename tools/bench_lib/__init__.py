"""What the experiments of tools/bench share."""
