"""Rigs that compare, in one run and as ratios; they are no part of CI."""
