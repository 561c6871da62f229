# Fits a line through the points of each slope by least squares.
# In:  role  driver  measure  x  y      (tab-separated, one point per line)
# Out: role  driver  measure  n  intercept  slope  residual
# residual is the root mean square distance of the points from the line.
BEGIN { FS = OFS = "\t" }
/^#/ || NF < 5 { next }
{
  k = $1 OFS $2 OFS $3
  if (!(k in n)) order[++keys] = k
  i = ++n[k]
  x[k, i] = $4; y[k, i] = $5
  sx[k] += $4; sy[k] += $5; sxx[k] += $4 * $4; sxy[k] += $4 * $5
}
END {
  print "# role", "driver", "measure", "points", "intercept", "slope",
        "residual"
  for (j = 1; j <= keys; j++) {
    k = order[j]
    d = n[k] * sxx[k] - sx[k] * sx[k]
    b = d ? (n[k] * sxy[k] - sx[k] * sy[k]) / d : 0
    a = (sy[k] - b * sx[k]) / n[k]
    r = 0
    for (i = 1; i <= n[k]; i++) {
      e = y[k, i] - a - b * x[k, i]
      r += e * e
    }
    printf "%s\t%d\t%.6g\t%.6g\t%.4g\n", k, n[k], a, b, sqrt(r / n[k])
  }
}
