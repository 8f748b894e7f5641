package statement

import "testing"

func TestGroup(t *testing.T) {
	for sql, want := range map[string]int{
		"SELECT a FROM sales_17.orders": 17,
		"select o.a, t_4.b from staging.x t_4 join sales_17.orders o on o.id = t_4.id":         17,
		"SELECT t_4.b FROM sales_17.orders t_4":                                                17,
		"SELECT 1 -- FROM sales_3.a\nFROM /* sales_4.b /* sales_5.c */ sales_6.d */ sales_7.e": 7,
		"SELECT 'it''s FROM sales_3.a' FROM sales_8.b":                                         8,
		`SELECT E'it\'s FROM sales_3.a' FROM sales_8.b`:                                        8,
		"SELECT $$FROM sales_3.a$$, $x$ $$ FROM sales_4.a $x$ FROM sales_9.b":                  9,
		"SELECT $1 FROM sales_9.b":                                                             9,
		`SELECT "a ""FROM sales_3.a" FROM "sales_10"."b c"`:                                    10,
		"SELECT extract(day FROM t_3.ts) FROM sales_11.days t_3":                               11,
		"SELECT a IS DISTINCT FROM t_3.b FROM sales_11.days t_3":                               11,
		"INSERT INTO north_sales_12.orders SELECT * FROM staging.x":                            12,
		"INSERT INTO staging.x SELECT * FROM sales_12.orders":                                  12,
		"UPDATE ONLY sales_13.orders SET a = 'x'":                                              13,
		"DELETE FROM sales_14 . orders WHERE a = 1":                                            14,
		"WITH w AS (SELECT * FROM sales_15.a) SELECT * FROM w":                                 15,
		"SELECT * FROM (sales_16.a JOIN sales_16.b USING (id))":                                16,
		"SELECT * FROM staging.a s, sales_18.b":                                                18,
		"SELECT * FROM plan.sales_19.b":                                                        19,
		"SELECT * FROM\tSALES_20.b":                                                            20,
		"SELECT * FROM orders_3":                                                               -1,
		"SELECT * FROM staging.x":                                                              -1,
		"SELECT * FROM sales_x.y":                                                              -1,
		"SELECT 'FROM sales_3.a":                                                               -1,
		"SELECT $q$FROM sales_3.a":                                                             -1,
		"/* FROM sales_3.a":                                                                    -1,
		`SELECT * FROM "sales_3`:                                                               -1,
		"SELECT * FROM sales_3.":                                                               -1,
		"":                                                                                     -1,
	} {
		got := -1
		if n, ok := TableGroup([]byte(sql)); ok {
			got = int(n)
		}
		if got != want {
			t.Errorf("%q: group %d, want %d", sql, got, want)
		}
	}
}

// FuzzGroup: no input may cause a panic.
func FuzzGroup(f *testing.F) {
	f.Add([]byte(`SELECT E'\' FROM "a_1"."b" -- /* $x$ (`))
	f.Fuzz(func(t *testing.T, b []byte) { TableGroup(b) })
}
